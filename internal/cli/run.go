package cli

import (
	"fmt"
	"io"
)

// Exit codes of every subcommand.
const (
	ExitOK     = 0
	ExitFailed = 1
	ExitUsage  = 2
)

// Run executes the subcommand that args name and returns its exit code.
func Run(args []string, _, stderr io.Writer) int {
	if len(args) == 0 {
		fmt.Fprintln(stderr, "usage: cyclamenpin SUBCOMMAND")
		return ExitUsage
	}
	return ExitOK
}
