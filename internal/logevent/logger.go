package logevent

import (
	"io"
	"os"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// NewLogger returns a logger to standard output. The format is "json" or
// "console", the level one of zap's names. Lines are written in the background;
// Sync waits for the last ones.
func NewLogger(format, level string) (*zap.Logger, error) {
	return newLogger(os.Stdout, maxLines, format, level)
}

// NewConsole returns a logger for a person at a terminal, to standard error.
func NewConsole(level string) (*zap.Logger, error) {
	return newLogger(os.Stderr, maxLines, "console", level)
}

func newLogger(out io.Writer, lines int, format, level string) (*zap.Logger, error) {
	parsed, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, err
	}
	cfg := zap.NewProductionEncoderConfig()
	cfg.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	encoder := zapcore.NewJSONEncoder(cfg)
	if format == "console" {
		encoder = zapcore.NewConsoleEncoder(cfg)
	}
	report := func(lost uint64) []byte {
		line, err := encoder.Clone().EncodeEntry(
			zapcore.Entry{Level: LinesLost.Level, Time: time.Now(), Message: LinesLost.Message},
			append(LinesLost.fields(), zap.Uint64("lines", lost)))
		if err != nil {
			return nil
		}
		return line.Bytes()
	}
	return zap.New(zapcore.NewCore(encoder, newSink(out, lines, report), parsed)), nil
}
