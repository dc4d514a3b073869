// Command reviewharness3 plays a case of the third review: it starts the entry program as
// separate processes, with stand-ins for the store, the databases and the clients around
// them, and checks one rule.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNoRun  = 2
)

// record is the case's record of what was sent, answered and run.
type record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

func (r *record) printf(format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f s  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, arguments...))
	_, _ = r.file.WriteString(line)
}

func main() {
	os.Exit(run(os.Args[1:]))
}

// cases holds the plays of the cases by name. Each returns an exit code.
var cases = map[string]func(*deployment, bool) int{
	"configuration": playConfiguration,
	"drain":         playDrain,
	"memory":        playMemory,
	"recover":       playRecover,
}

func run(arguments []string) int {
	if len(arguments) != 3 || cases[arguments[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: reviewharness3 CASE PROGRAM RECORD")
		return exitNoRun
	}
	file, err := os.Create(filepath.Clean(arguments[2])) //nolint:gosec // the script names the file
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNoRun
	}
	defer func() { _ = file.Close() }()
	d, err := newDeployment(arguments[1], &record{file: file, started: time.Now()})
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNoRun
	}
	defer d.close()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-interrupted
		d.close()
		os.Exit(exitNoRun)
	}()
	return cases[arguments[0]](d, os.Getenv("TROUBLE") != "0")
}
