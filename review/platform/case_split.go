package main

import (
	"fmt"
	"time"
)

// splitCut is how long the requester's link is cut in the middle of its message.
const splitCut = 6 * time.Second

// playSplitMessage sends one WRITE whose data holds the text of another statement. The
// link between requester and machine is cut after the first part of the message and heals
// later, so that the rest arrives late.
func playSplitMessage(s *stage) error {
	if err := s.build(smallGroup(), 1); err != nil {
		return err
	}
	link, err := newProxy(s.entries[0].front)
	if err != nil {
		return err
	}
	behind := *s.entries[0]
	behind.front = link.address
	c, err := connect(&behind, "requester", "desk", s.record)
	if err != nil {
		return err
	}
	defer c.close()
	if _, first := c.run("WRITE stock 40"); !first.ok() {
		return fmt.Errorf("the first write got %v", first)
	}
	outer, inner := newID(), newID()
	data := fmt.Sprintf("QUERY %s WRITE stock 0", inner)
	s.record.note(c.name, "sends %s WRITE note %s", outer, data)
	c.conn.SetDeadline(time.Now().Add(splitCut + answerTimeout))
	fmt.Fprintf(c.conn, "QUERY %s WRITE note ", outer)
	time.Sleep(100 * time.Millisecond)
	if s.trouble {
		link.cut()
		s.record.say("the link to %s is cut in the middle of a message", behind.name)
		time.AfterFunc(splitCut, func() {
			s.record.say("the link heals")
			link.heal()
		})
	}
	fmt.Fprintf(c.conn, "%s\r\n", data)
	answered := c.read()
	s.record.note(c.name, "gets  %s %v", outer, answered)
	time.Sleep(time.Second)
	s.group.mu.Lock()
	smuggled, sent := s.group.runs[inner], s.group.runs[outer]
	s.group.mu.Unlock()
	s.record.say("runs of the write that was sent: %q; runs of the text within its data: %q; the answer: %v", sent, smuggled, answered)
	switch {
	case len(smuggled) > 0:
		return broken("UNASKED: a database ran %q, which no requester sent: it is the data of %s, which did not run (%d times) and was answered %v", smuggled, outer, len(sent), answered)
	case answered.ok() && len(sent) != 1:
		return broken("MIXED: %s was answered with success and ran %d times", outer, len(sent))
	}
	return nil
}
