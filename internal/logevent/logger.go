package logevent

import (
	"io"
	"os"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// NewLogger returns a logger to standard output. The format is "json" or
// "console"; the level is one of zap's level names. Lines are written in the
// background; Sync waits for them.
func NewLogger(format, level string) (*zap.Logger, error) {
	return newLogger(os.Stdout, maxQueuedLines, format, level)
}

// NewConsole returns a logger to standard error in the console format.
func NewConsole(level string) (*zap.Logger, error) {
	return newLogger(os.Stderr, maxQueuedLines, "console", level)
}

func newLogger(out io.Writer, queueLength int, format, level string) (*zap.Logger, error) {
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
	return zap.New(zapcore.NewCore(encoder, newSink(out, queueLength, report), parsed)), nil
}
