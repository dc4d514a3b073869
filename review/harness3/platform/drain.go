package main

import (
	"bytes"
	"fmt"
	"sync"
	"time"

	standin "github.com/cyclamenpin/cyclamenpin/internal/standin/platform/council"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

const (
	// powerTime is for how long a machine loses power: the site's node_kill.
	powerTime = 3500 * time.Millisecond
	// drainTime is DrainMs.
	drainTime = 7 * time.Second
	// servesOn is for how much longer a leaving database serves.
	servesOn = 5 * time.Second
	// releasePause is the pause between the replacements of two databases.
	releasePause  = time.Second
	drainPlayTime = 13 * time.Second
	dutiesTable   = "duties"
	writePause    = 50 * time.Millisecond
)

// sentWrite is a write that a machine took.
type sentWrite struct {
	through *machine
	at      time.Time
}

// playDrain has the primaries of two services replaced one after the other. With trouble,
// the machine that has just written to the store that it promotes the first one's successor
// loses power. No write may reach a leaving database later than DrainMs after the store has
// acknowledged that it leaves, through machines in touch.
func playDrain(d *deployment, trouble bool) int {
	if !d.awaitRotation() {
		d.record.printf("the machines are not ready")
		return exitNoRun
	}
	d.configure(10, []standin.Route{primaryRoute(movedRoute, group)})
	d.pause(stableTime)
	for _, g := range d.groups {
		if err := d.startDatabase(g.Add(databases+1, zone(0))); err != nil {
			return exitNoRun
		}
	}
	d.pause(releasePause)
	if trouble {
		d.store.mu.Lock()
		d.store.onWrite = d.strikePromoter()
		d.store.mu.Unlock()
	}
	first, second := d.groups[other].Leader(), d.groups[group].Leader()
	first.Leave()
	d.record.printf("%s, the primary of %s, leaves", first.ID, other)
	d.pause(releasePause)
	second.Leave()
	d.record.printf("%s, the primary of %s, leaves", second.ID, group)
	d.pause(2 * heartbeat / 12)
	acknowledged := time.Now() // at the latest
	time.AfterFunc(drainTime+servesOn, func() { second.Crash(false) })

	var mu sync.Mutex
	sent, broken := make(map[string]sentWrite), 0
	var writers sync.WaitGroup
	for n, m := range d.machines {
		writers.Go(func() {
			for k := 0; time.Since(acknowledged) < drainPlayTime; k++ {
				id := fmt.Sprintf("m%dorder%d", n, k)
				at := time.Now()
				mu.Lock()
				sent[id] = sentWrite{m, at}
				mu.Unlock()
				reply, err := writeOnce(m.clients, movedRoute, id)
				d.record.printf("%s: QUERY %s WRITE order-1 x -> %s %s %s %v", m.name, id, reply.Code, reply.Detail, reply.Proof, err)
				if err == nil && reply.Code == state.CodeUnknown {
					mu.Lock()
					broken++
					mu.Unlock()
				}
				d.pause(writePause)
			}
		})
	}
	writers.Wait()
	late, ran := 0, 0
	for _, commit := range d.groups[group].Commits() {
		for _, id := range commit.IDs {
			w, known := sent[id]
			if !known {
				continue
			}
			ran++
			after := commit.At.Sub(acknowledged)
			if commit.Database == second.ID && after > drainTime && w.through.inTouch(w.at) {
				late++
				d.record.printf("%s ran at %s %.3f s after the ack, through %s, whose process ran for %.3f s when it was sent",
					id, second.ID, after.Seconds(), w.through.name, w.at.Sub(w.through.startedAt).Seconds())
			}
		}
	}
	d.record.printf("%d writes ran; %d had an unknown result; %d reached the leaving database later than DrainMs through a machine in touch", ran, broken, late)
	switch {
	case ran == 0:
		return exitNoRun
	case late > 0:
		d.record.printf("DRAIN: requests reached a database later than DrainMs after the store acknowledged that it is draining")
		return exitBroken
	default:
		return exitHeld
	}
}

// strikePromoter returns a function that has the first machine lose power that writes to
// the store that it calls for a promotion, before that write is answered.
func (d *deployment) strikePromoter() func(storedRow) {
	var once sync.Once
	return func(row storedRow) {
		if row.Table != dutiesTable || !bytes.Contains(row.Value, []byte("calls")) {
			return
		}
		for _, m := range d.machines {
			if bytes.Contains(row.Value, []byte(m.name+"#")) {
				once.Do(func() { m.losePower(powerTime) })
			}
		}
	}
}
