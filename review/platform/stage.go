package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// databasesPerGroup is the number of databases of a service.
const databasesPerGroup = 3

// stage is what a case plays on.
type stage struct {
	record   *record
	trouble  bool
	folder   string
	platform *platform
	group    *group
	options  groupOptions
	entries  []*entry

	stopped chan struct{}
	clients sync.WaitGroup
}

func newStage(output string, trouble bool) (*stage, error) {
	r, err := newRecord(output)
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	return &stage{record: r, trouble: trouble, folder: folder, stopped: make(chan struct{})}, nil
}

// smallGroup are the properties of the databases of the pages' small deployments.
func smallGroup() groupOptions {
	return groupOptions{
		slots: 3, queue: 24, maxConnections: 41, receiveDelay: 2 * time.Millisecond, applyDelay: 8 * time.Millisecond, promoteDelay: 300 * time.Millisecond,
		readTime: 18 * time.Millisecond, writeTime: 6 * time.Millisecond, statusTime: time.Millisecond,
	}
}

// build starts the platform, the databases and the instances, and waits until all
// instances are ready.
func (s *stage) build(o groupOptions, instances int) error {
	s.options = o
	s.platform = newPlatform(s.record)
	s.group = newGroup("orders", o, s.platform.registry(), s.record)
	s.platform.group = s.group
	for n := range databasesPerGroup {
		if err := s.group.add(fmt.Sprintf("db%d", n+1)); err != nil {
			return err
		}
	}
	s.platform.configure(1, o)
	storeAddress, promoteAddress, err := s.platform.serve()
	if err != nil {
		return err
	}
	for n := range instances {
		e, err := newEntry(s.folder, fmt.Sprintf("front-%d", n+1), fmt.Sprintf("z%d", n%3+1), storeAddress, promoteAddress, s.record)
		if err != nil {
			return err
		}
		s.entries = append(s.entries, e)
		if err := e.start(); err != nil {
			return err
		}
	}
	for _, e := range s.entries {
		if err := e.awaitReady(15 * time.Second); err != nil {
			return err
		}
	}
	s.record.say("%d instances are ready", instances)
	return nil
}

// end ends all processes that were started.
func (s *stage) end() {
	close(s.stopped)
	for _, e := range s.entries {
		e.kill()
	}
	for _, e := range s.entries {
		for _, line := range e.decisions("primary's record changed", "promotion requested", "change of primary ended", "failed to query the status", "rolled back, client idle") {
			s.record.note(e.name, "logs %s", line)
		}
	}
	s.record.close()
	_ = os.RemoveAll(s.folder) //nolint:gosec // the case's temporary folder
}

// background runs a client until the case stops.
func (s *stage) background(run func()) {
	s.clients.Go(func() {
		for {
			select {
			case <-s.stopped:
				return
			default:
				run()
			}
		}
	})
}

// pause waits, or returns early when the case stops.
func (s *stage) pause(d time.Duration) {
	select {
	case <-s.stopped:
	case <-time.After(d):
	}
}
