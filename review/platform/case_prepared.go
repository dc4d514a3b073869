package main

import (
	"fmt"
	"sync/atomic"
	"time"
)

const (
	// greyTime is how long a database refuses part of its requests, greyShare which part.
	greyTime  = 6500 * time.Millisecond
	greyShare = 0.36
	// shapes is how many statements the requesters' programs have, of each kind.
	shapes = 60
)

// unknown counts the answers to EXECUTE of a name whose preparing was acknowledged.
type unknown struct {
	executed, unknown atomic.Int64
}

// playUnknownStatement has a database that refuses part of its requests as overloaded,
// while requesters use prepared statements.
func playUnknownStatement(s *stage) error {
	if err := s.build(smallGroup(), 3); err != nil {
		return err
	}
	var counted atomic.Pointer[unknown]
	before, during, after := &unknown{}, &unknown{}, &unknown{}
	counted.Store(before)
	var sessions atomic.Int64
	for n := range 12 {
		e, name := s.entries[n%len(s.entries)], fmt.Sprintf("requester%d", n)
		s.background(func() { s.preparedRequester(e, name, sessions.Add(1)%shapes, &counted) })
	}
	s.pause(8 * time.Second)
	primary := s.group.primary()
	counted.Store(during)
	if s.trouble {
		primary.setGrey(greyShare)
	}
	s.pause(greyTime)
	if s.trouble {
		primary.setGrey(0)
	}
	s.pause(2 * time.Second)
	counted.Store(after)
	s.pause(15 * time.Second)
	counted.Store(&unknown{})
	for _, part := range []struct {
		name string
		of   *unknown
	}{{"before", before}, {"during", during}, {"from 2 s after", after}} {
		s.record.say("%s the refusals: %d of %d executions of acknowledged names got NOSTMT", part.name, part.of.unknown.Load(), part.of.executed.Load())
	}
	if n := during.unknown.Load() + after.unknown.Load(); n > 0 {
		return broken("PINNED: a prepared name was unknown %d times though its preparing was acknowledged, %d of these times after the database refused nothing any more",
			n, after.unknown.Load())
	}
	return nil
}

// preparedRequester opens a session, prepares a read and a write and executes them.
func (s *stage) preparedRequester(e *entry, name string, shape int64, counted *atomic.Pointer[unknown]) {
	const pause = 60 * time.Millisecond
	c, err := connect(e, name, "desk", s.record)
	if err != nil {
		s.pause(reconnectPause)
		return
	}
	defer c.close()
	if _, answered := c.run(fmt.Sprintf("PREPARE r READ shape%d", shape)); !answered.ok() {
		return
	}
	if _, answered := c.run(fmt.Sprintf("PREPARE w WRITE shape%d", shape)); !answered.ok() {
		return
	}
	for round := range 40 {
		select {
		case <-s.stopped:
			return
		default:
		}
		text := "EXECUTE r stock"
		if round%4 == 0 {
			text = fmt.Sprintf("EXECUTE w %s %d", name, round)
		}
		now := counted.Load()
		_, answered := c.run(text)
		now.executed.Add(1)
		if answered.code == "NOSTMT" {
			now.unknown.Add(1)
		}
		if answered.err != nil {
			return
		}
		s.pause(pause)
	}
}
