// Command cases plays the scripts of the second review. It serves the platform and the
// databases, starts the entry program as separate processes on loopback addresses, and
// judges what clients and databases saw. It exits with 1 if the rule was broken, 0 if it
// held, and 2 if the case couldn't run.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
	// playLimit ends a play that hangs.
	playLimit = 115 * time.Second
)

// errSetup is the error of a play that could not run.
var errSetup = errors.New("the case could not run")

// play runs a case with or without its disruption and returns what broke the rule.
type play func(c *cluster, trouble bool) (broken []string, err error)

// caseOf holds a case and the deployment that it is played on.
type caseOf struct {
	deployment deployment
	play       play
}

func cases() map[string]caseOf {
	return map[string]caseOf{
		"drill":                {drillDeployment(), playDrill},
		"moved-route":          {movedRouteDeployment(), playMovedRoute},
		"reborn-replica":       {powerLossDeployment(), playReborn},
		"unregistered-replica": {powerLossDeployment(), playUnregistered},
		"unread-configuration": {powerLossDeployment(), playUnreadConfiguration},
		"power-loss":           {powerLossDeployment(), playPowerLoss},
	}
}

func main() {
	program := flag.String("program", "target/cyclamenpin", "the entry program")
	record := flag.String("record", "record.txt", "file for what was sent, answered and run")
	logs := flag.String("logs", "", "folder for the logs of the instances; none if it is empty")
	flag.Parse()
	os.Exit(run(flag.Arg(0), *program, *record, *logs, os.Getenv("TROUBLE") != "0"))
}

func run(name, program, recordPath, logs string, trouble bool) int {
	chosen, known := cases()[name]
	if !known {
		fmt.Fprintf(os.Stderr, "unknown case %q\n", name)
		return exitFailed
	}
	record, err := newRecord(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer record.close()
	time.AfterFunc(playLimit, func() {
		record.line("the play took longer than %s", playLimit)
		killAll()
		os.Exit(exitFailed)
	})
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-interrupted
		killAll()
		os.Exit(exitFailed)
	}()
	record.line("case %s, disruption %t", name, trouble)
	c, err := newCluster(chosen.deployment, program, logs, record)
	if err != nil {
		record.line("%v", err)
		return exitFailed
	}
	defer c.stop()
	broken, err := chosen.play(c, trouble)
	switch {
	case err != nil:
		record.line("%v", err)
		fmt.Println("could not run:", err)
		return exitFailed
	case len(broken) > 0:
		for _, what := range broken {
			record.line("BROKEN: %s", what)
		}
		fmt.Printf("the rule was broken %d times, first: %s\n", len(broken), broken[0])
		return exitBroken
	default:
		record.line("the rule held")
		fmt.Println("the rule held")
		return exitHeld
	}
}
