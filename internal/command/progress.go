package command

import (
	"os"

	"github.com/schollz/progressbar/v3"
	"golang.org/x/term"
)

// minProgress is the smallest number of tasks for which a progress bar is shown.
const minProgress = 2

// terminalProgress returns a constructor of progress bars that are drawn on f, or
// nil when f is not a terminal.
func terminalProgress(f *os.File) func(tasks int) progressDisplay {
	if !term.IsTerminal(int(f.Fd())) {
		return nil
	}
	return func(tasks int) progressDisplay {
		if tasks < minProgress {
			return noProgress{}
		}
		return progressBar{progressbar.NewOptions(tasks, progressbar.OptionSetWriter(f), progressbar.OptionShowCount(),
			progressbar.OptionSetDescription("tasks"), progressbar.OptionClearOnFinish())}
	}
}

type noProgress struct{}

func (noProgress) Set(int) {}
func (noProgress) Close()  {}

type progressBar struct{ *progressbar.ProgressBar }

// Set implements progressDisplay.
func (b progressBar) Set(finished int) { _ = b.ProgressBar.Set(finished) }

// Close implements progressDisplay.
func (b progressBar) Close() { _ = b.Clear() }
