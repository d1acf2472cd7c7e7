// Command poplarlever runs the dispatcher's processes and the commands for its
// operators and callers.
package main

import (
	"context"
	"os"

	"github.com/poplarlever/poplarlever/internal/command"
)

func main() {
	os.Exit(command.Main(context.Background(), os.Args, os.Stdout, os.Stderr))
}
