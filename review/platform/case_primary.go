package main

import (
	"fmt"
	"sync/atomic"
	"time"
)

const (
	// recoverTime is the pages' RecoverS.
	recoverTime = 12 * time.Second
	// powerOff is how long the machines are without power.
	powerOff = 1600 * time.Millisecond
	// reconnectPause is how long a requester waits after it got no session.
	reconnectPause = 200 * time.Millisecond
)

// tally counts requests by whether they were served.
type tally struct{ sent, served atomic.Int64 }

// load runs requesters that send reads and writes through all instances.
func (s *stage) load(requesters int, pause time.Duration, counted *atomic.Pointer[tally]) {
	for n := range requesters {
		e := s.entries[n%len(s.entries)]
		database := []string{"desk", "board", "cab"}[n/len(s.entries)%3]
		name := fmt.Sprintf("requester%d", n)
		s.background(func() { s.requester(e, name, database, pause, counted) })
	}
}

// requester opens a session and uses it until it fails.
func (s *stage) requester(e *entry, name, database string, pause time.Duration, counted *atomic.Pointer[tally]) {
	c, err := connect(e, name, database, s.record)
	if err != nil {
		counted.Load().sent.Add(1)
		s.pause(reconnectPause)
		return
	}
	defer c.close()
	c.quiet = true
	for n := 0; ; n++ {
		select {
		case <-s.stopped:
			return
		default:
		}
		text := "READ stock"
		if database == "desk" && n%3 == 0 {
			text = fmt.Sprintf("WRITE %s %d", name, n)
		}
		t := counted.Load()
		t.sent.Add(1)
		_, answered := c.run(text)
		if answered.ok() {
			t.served.Add(1)
		}
		if answered.err != nil {
			return
		}
		s.pause(pause)
	}
}

// playNoPrimary loses the primary for good, and all machines lose power right after.
func playNoPrimary(s *stage) error {
	if err := s.build(smallGroup(), 3); err != nil {
		return err
	}
	var counted atomic.Pointer[tally]
	before := &tally{}
	counted.Store(before)
	s.load(18, 50*time.Millisecond, &counted)
	s.pause(10 * time.Second)
	counted.Store(&tally{})
	if s.trouble {
		lost := s.group.primary()
		s.record.say("the machine of the primary %s goes dark for good", lost.id)
		lost.goDark()
		s.pause(300 * time.Millisecond)
		s.record.say("all machines lose power")
		for _, e := range s.entries {
			e.kill()
		}
		s.pause(powerOff)
		for _, e := range s.entries {
			if err := e.start(); err != nil {
				return err
			}
		}
		s.record.say("all machines are back")
	}
	s.pause(recoverTime)
	after := &tally{}
	counted.Store(after)
	s.record.say("%v after the machines are back: counting", recoverTime)
	s.pause(15 * time.Second)
	counted.Store(&tally{})
	was := float64(before.served.Load()) / float64(max(1, before.sent.Load()))
	is := float64(after.served.Load()) / float64(max(1, after.sent.Load()))
	s.record.say("served: %d of %d before, %d of %d later than RecoverS after; promotion calls: %d",
		before.served.Load(), before.sent.Load(), after.served.Load(), after.sent.Load(), len(s.platform.calls()))
	if was < 0.25 {
		return fmt.Errorf("too little was served before: %.2f", was)
	}
	if is < 0.25 {
		return broken("RECOVER: of the requests sent later than %v after the machines are back %.2f are served, %.2f before; two replicas run", recoverTime, is, was)
	}
	return nil
}
