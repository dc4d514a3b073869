package main

import (
	"fmt"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/rowstore"
)

const (
	// platformCut is how long one machine does not reach the platform.
	platformCut = 12 * time.Second
	// cutAfter is the time from the announcement of a change to the cut.
	cutAfter = 50 * time.Millisecond
	// maxChanges is how many databases are replaced before the cut at most.
	maxChanges = 6
	// slowPerMachine is how many requesters pause within their transactions.
	slowPerMachine = 4
)

// playLatePromote replaces the databases of the service one after the other. In a later
// change of primary the machine that makes it is cut off from the platform, with its
// promotion call on the way.
func playLatePromote(s *stage) error {
	if err := s.build(smallGroup(), 3); err != nil {
		return err
	}
	acknowledged := &writes{}
	for n, e := range s.entries {
		name := fmt.Sprintf("writer%d", n)
		s.background(func() { s.writer(e, name, acknowledged) })
		for number := range slowPerMachine {
			s.background(func() { s.slowTransaction(e, fmt.Sprintf("slow%d.%d", n, number)) })
		}
	}
	s.pause(14 * time.Second)
	cut, err := s.replaceInTurn()
	if err != nil {
		return err
	}
	changes := len(s.platform.calls())
	// The machine has the store's answer and waits for the open transactions.
	s.pause(cutAfter)
	cutAt := time.Now()
	if s.trouble {
		cut.cutPlatform()
		time.AfterFunc(platformCut, cut.healPlatform)
	}
	if err := s.awaitPromotions(changes+1, 11*time.Second); err != nil {
		return err
	}
	s.pause(2 * time.Second)
	if err := s.replacePrimary(); err != nil {
		s.record.say("next change: %v", err)
	}
	s.pause(time.Until(cutAt.Add(platformCut + 6*time.Second)))
	return s.checkHolder()
}

// replaceInTurn replaces databases until a machine that has made a change of primary
// before has announced another one, and returns that machine.
func (s *stage) replaceInTurn() (*entry, error) {
	holders := make(map[string]bool)
	for range maxChanges {
		calls := len(s.platform.calls())
		if err := s.startReplacing(); err != nil {
			return nil, err
		}
		announcer, err := s.awaitAnnouncement()
		if err != nil {
			return nil, err
		}
		if holders[announcer.name] {
			return announcer, nil
		}
		if err := s.awaitPromotions(calls+1, 6*time.Second); err != nil {
			return nil, err
		}
		holders[announcer.name] = true
		s.pause(3 * time.Second)
	}
	return nil, fmt.Errorf("no machine announced two of %d changes", maxChanges)
}

// startReplacing starts a new database and makes the primary leave.
func (s *stage) startReplacing() error {
	s.group.mu.Lock()
	number := len(s.group.databases) + 1
	s.group.mu.Unlock()
	if err := s.group.add(fmt.Sprintf("db%d", number)); err != nil {
		return err
	}
	s.pause(500 * time.Millisecond)
	leaving := s.group.primary()
	s.record.say("the primary %s is to be replaced", leaving.id)
	leaving.drain()
	return nil
}

// replacePrimary replaces the primary and waits until another one leads.
func (s *stage) replacePrimary() error {
	calls := len(s.platform.calls())
	if err := s.startReplacing(); err != nil {
		return err
	}
	return s.awaitPromotions(calls+1, 6*time.Second)
}

func (s *stage) awaitPromotions(calls int, limit time.Duration) error {
	deadline := time.Now().Add(limit)
	for len(s.platform.calls()) < calls {
		if time.Now().After(deadline) {
			return fmt.Errorf("%d promotion calls, expected %d", len(s.platform.calls()), calls)
		}
		time.Sleep(10 * time.Millisecond)
	}
	return nil
}

// primariesTable is the table in which instances announce changes of primary.
const primariesTable = "primaries"

// announcement is the part of a row of primariesTable that tells who makes a change.
type announcement struct {
	Changing bool   `msgpack:"changing"`
	Promoter string `msgpack:"promoter"`
}

// awaitAnnouncement waits until an instance has announced a change of primary, and
// returns it.
func (s *stage) awaitAnnouncement() (*entry, error) {
	var announced announcement
	found := s.platform.awaitRow(primariesTable, 5*time.Second, func(row rowstore.Row) bool {
		return msgpack.Unmarshal(row.Value, &announced) == nil && announced.Changing
	})
	for _, e := range s.entries {
		if found && len(announced.Promoter) > len(e.name) && announced.Promoter[:len(e.name)] == e.name {
			return e, nil
		}
	}
	return nil, fmt.Errorf("no announcement of a change")
}

// slowTransaction is a requester that pauses within its transactions.
func (s *stage) slowTransaction(e *entry, name string) {
	const pause = 350 * time.Millisecond
	c, err := connect(e, name, "desk", s.record)
	if err != nil {
		s.pause(pause)
		return
	}
	defer c.close()
	for {
		select {
		case <-s.stopped:
			return
		default:
		}
		_, answered := c.run("BEGIN")
		for n := 0; n < 3 && answered.ok(); n++ {
			_, answered = c.run(fmt.Sprintf("WRITE %s %d", name, n))
			s.pause(pause)
		}
		end := "COMMIT"
		if !answered.ok() {
			end = "ROLLBACK"
		}
		if _, answered = c.run(end); answered.err != nil {
			return
		}
	}
}

// checkHolder checks that no promotion call carries a lower fence than an earlier one,
// and that no superseded primary acknowledged a write.
func (s *stage) checkHolder() error {
	calls := s.platform.calls()
	for n, call := range calls {
		if n > 0 && call.fence < calls[n-1].fence {
			s.reportSuperseded(call)
			return broken("ONE: %s promotes %s with fence %d after %s had promoted %s with fence %d",
				call.holder, call.database, call.fence, calls[n-1].holder, calls[n-1].database, calls[n-1].fence)
		}
	}
	return nil
}

// reportSuperseded says what followed from the late call.
func (s *stage) reportSuperseded(call promotion) {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	var superseded, lost int
	held := make(map[string]bool)
	for _, c := range s.group.leader.log {
		held[c.id] = true
	}
	for id, a := range s.group.acknowledged {
		if a.when.After(call.at) && a.superseded {
			superseded++
			if !held[id] {
				lost++
			}
		}
	}
	s.record.say("after the late call %s leads; %d commits were acknowledged by the database that it replaced, %d of them are not in its log",
		s.group.leader.id, superseded, lost)
}
