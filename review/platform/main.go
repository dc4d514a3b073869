// Command platform plays one case of the review: it starts the project's entry instances as
// separate processes on loopback addresses, with a stand-in for the platform, for the
// databases and for the clients, and checks one rule by what these have seen.
//
// It exits with 1 if the rule was broken, 0 if it held and 2 if the case couldn't run.
// With TROUBLE=0 in the environment it leaves the disruption out.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
	// playTime ends a case that hangs.
	playTime = 110 * time.Second
)

// errBroken is wrapped by the error of a case that saw its rule broken.
var errBroken = errors.New("the rule was broken")

// broken returns an error that wraps errBroken.
func broken(format string, arguments ...any) error {
	return fmt.Errorf("%w: %s", errBroken, fmt.Sprintf(format, arguments...))
}

// cases are the cases by name.
var cases = map[string]func(*stage) error{
	"sync-lost":     playSyncLost,
	"late-promote":  playLatePromote,
	"no-primary":    playNoPrimary,
	"split-message": playSplitMessage,
	"unknown-name":  playUnknownStatement,
}

func main() {
	name := flag.String("case", "", "name of the case")
	output := flag.String("record", "record.txt", "file for what was sent, answered and run")
	flag.Parse()
	os.Exit(play(*name, *output))
}

func play(name, output string) int {
	run, known := cases[name]
	if !known {
		fmt.Fprintf(os.Stderr, "no case %q\n", name)
		return exitNotRun
	}
	s, err := newStage(output, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer s.end()
	result := make(chan error, 1)
	go func() { result <- run(s) }()
	select {
	case err = <-result:
	case <-time.After(playTime):
		err = errors.New("the case did not end in time")
	}
	switch {
	case errors.Is(err, errBroken):
		s.record.say("%v", err)
		return exitBroken
	case err != nil:
		s.record.say("not run: %v", err)
		return exitNotRun
	default:
		s.record.say("the rule held")
		return exitHeld
	}
}
