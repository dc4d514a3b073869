package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// deafTime is how long a replica receives nothing before the primary crashes.
	deafTime = 4 * time.Second
	// slowTimes is how much slower the other replica is, slowBefore for how long before
	// the primary crashes.
	slowTimes  = 5
	slowBefore = time.Second
)

// writes collects the writes whose requesters were told of success.
type writes struct {
	mu  sync.Mutex
	ids []string
}

func (w *writes) add(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ids = append(w.ids, id)
}

func (w *writes) all() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]string(nil), w.ids...)
}

// playSyncLost has a service with SyncReplicas = 1. One replica receives nothing for a
// while, and the primary crashes meanwhile. The other replica has every acknowledged
// commit and serves all reads.
func playSyncLost(s *stage) error {
	o := smallGroup()
	o.syncReplicas = 1
	if err := s.build(o, 3); err != nil {
		return err
	}
	var counted atomic.Pointer[tally]
	counted.Store(&tally{})
	s.load(45, 250*time.Millisecond, &counted)
	acknowledged := &writes{}
	for n, e := range s.entries {
		name := fmt.Sprintf("writer%d", n)
		s.background(func() { s.writer(e, name, acknowledged) })
	}
	s.pause(10 * time.Second)
	if s.trouble {
		current, deaf := s.group.replicas()[0], s.group.replicas()[1]
		deaf.setDeaf(true)
		s.pause(deafTime - slowBefore)
		current.setSlow(slowTimes)
		s.pause(slowBefore)
		s.record.say("the primary %s crashes", s.group.primary().id)
		s.group.primary().crash()
	}
	deadline := time.Now().Add(30 * time.Second)
	for s.trouble && len(s.platform.calls()) == 0 && time.Now().Before(deadline) {
		s.pause(20 * time.Millisecond)
	}
	s.pause(2 * time.Second)
	return s.checkKept(acknowledged)
}

// writer writes until its session fails.
func (s *stage) writer(e *entry, name string, acknowledged *writes) {
	c, err := connect(e, name, "desk", s.record)
	if err != nil {
		s.pause(200 * time.Millisecond)
		return
	}
	defer c.close()
	for n := 0; ; n++ {
		select {
		case <-s.stopped:
			return
		default:
		}
		id, answered := c.run(fmt.Sprintf("WRITE %s %d", name, n))
		if answered.ok() {
			acknowledged.add(id)
		}
		if answered.err != nil {
			return
		}
		s.pause(20 * time.Millisecond)
	}
}

// checkKept checks that the database that was promoted has every acknowledged write.
func (s *stage) checkKept(acknowledged *writes) error {
	told := acknowledged.all()
	s.group.mu.Lock()
	leader := s.group.leader
	held := make(map[string]bool)
	for _, c := range leader.log {
		held[c.id] = true
	}
	s.group.mu.Unlock()
	var lost []string
	for _, id := range told {
		if !held[id] {
			lost = append(lost, id)
		}
	}
	s.record.say("%d writes were acknowledged to their requesters, %d of them are not in the log of %s, which leads; promotion calls: %d",
		len(told), len(lost), leader.id, len(s.platform.calls()))
	if len(lost) > 0 {
		return broken("LOST: %d acknowledged commits, the first %s, are not in the log of %s, which was promoted", len(lost), lost[0], leader.id)
	}
	return nil
}
