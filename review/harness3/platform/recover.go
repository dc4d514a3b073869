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
	// downTime is for how long all machines lose power: down_s of the site's closing
	// faults.
	downTime = 1200 * time.Millisecond
	// recoverTime is RecoverS, and recoverWindow how long requests go on after it, about as
	// long as on the days of the users' bench.
	recoverTime   = 12 * time.Second
	recoverWindow = 3 * time.Second
	// leastServed is the share of the rule.
	leastServed = 0.25
	// strikeLimit is the longest wait for the write that the fault follows.
	strikeLimit = 5 * time.Second
	requesters  = 24
)

// answered is a request and whether it was served.
type answered struct {
	at     time.Time
	served bool
}

// playRecover has the primary of a service replaced. With trouble, all machines lose power
// right after the store has accepted the promoter's record of its promotion call. RecoverS
// after they are back, a quarter of the requests must be served.
func playRecover(d *deployment, trouble bool) int {
	if !d.awaitRotation() {
		d.record.printf("the machines are not ready")
		return exitNoRun
	}
	d.configure(10, []standin.Route{primaryRoute(movedRoute, group)})
	d.pause(stableTime)
	var mu sync.Mutex
	var all []answered
	for n := range requesters {
		go d.request(n, func(a answered) {
			mu.Lock()
			defer mu.Unlock()
			all = append(all, a)
		})
	}
	d.pause(stableTime)
	if err := d.startDatabase(d.groups[group].Add(databases+1, zone(0))); err != nil {
		return exitNoRun
	}
	d.pause(releasePause)
	struck := make(chan time.Time, 1)
	if trouble {
		d.store.mu.Lock()
		d.store.onWrite = d.strikeAll(struck)
		d.store.mu.Unlock()
	}
	leaving := d.groups[group].Leader()
	leaving.Leave()
	fault := time.Now()
	d.record.printf("%s, the primary of %s, leaves", leaving.ID, group)
	time.AfterFunc(drainTime+servesOn, func() { leaving.Crash(false) })
	if trouble {
		select {
		case fault = <-struck:
		case <-time.After(strikeLimit):
			d.record.printf("no promotion call was recorded")
			return exitNoRun
		}
	}
	d.pause(downTime + time.Second)
	back := d.lastStart(fault)
	d.record.printf("the last machine was back %.3f s after the fault", back.Sub(fault).Seconds())
	d.pause(time.Until(back.Add(recoverTime + recoverWindow)))
	mu.Lock()
	defer mu.Unlock()
	return d.judgeRecovery(all, fault, back)
}

// lastStart returns when the last of the machines' processes started, if that was after a
// moment.
func (d *deployment) lastStart(after time.Time) time.Time {
	for _, m := range d.machines {
		m.mu.Lock()
		if m.startedAt.After(after) {
			after = m.startedAt
		}
		m.mu.Unlock()
	}
	return after
}

// judgeRecovery compares the shares of the requests that were served before the fault and
// RecoverS after the machines were back.
func (d *deployment) judgeRecovery(all []answered, fault, back time.Time) int {
	before, servedBefore, after, servedAfter := 0, 0, 0, 0
	for _, a := range all {
		switch {
		case a.at.Before(fault.Add(-dialTimeout)):
			before++
			servedBefore += one(a.served)
		case a.at.After(back.Add(recoverTime)):
			after++
			servedAfter += one(a.served)
		}
	}
	d.record.printf("before the fault %d of %d requests were served; of those sent later than RecoverS after the machines were back %d of %d",
		servedBefore, before, servedAfter, after)
	switch {
	case before == 0 || after == 0 || float64(servedBefore) < leastServed*float64(before):
		return exitNoRun
	case float64(servedAfter) < leastServed*float64(after):
		d.record.printf("RECOVER: less than a quarter is served")
		return exitBroken
	default:
		return exitHeld
	}
}

func one(served bool) int {
	if served {
		return 1
	}
	return 0
}

// request sends reads and writes over the machines in rotation until the deployment stops.
func (d *deployment) request(number int, report func(answered)) {
	for n := 0; !d.pause(ordinaryTime); n++ {
		at := time.Now()
		m := d.choose(number + n)
		if m == nil {
			report(answered{at, false})
			continue
		}
		id := fmt.Sprintf("q%dn%d", number, n)
		reply, err := d.requestOnce(m, id, n%2 == 0)
		report(answered{at, err == nil && reply.Code == state.CodeNone})
		d.record.printf("%s: QUERY %s -> %s %s %v", m.name, id, reply.Code, reply.Detail, err)
	}
}

// requestOnce sends a write by a route to the primary, or a read by the session route.
func (d *deployment) requestOnce(m *machine, id string, write bool) (state.Reply, error) {
	if !write {
		return readOnce(m.clients, "cab", id, "order-1")
	}
	return writeOnce(m.clients, movedRoute, id)
}

// strikeAll returns a function that has all machines lose power when one has written to
// the store that it calls for a promotion, before that write is answered.
func (d *deployment) strikeAll(struck chan<- time.Time) func(storedRow) {
	var once sync.Once
	return func(row storedRow) {
		if row.Table != dutiesTable || !bytes.Contains(row.Value, []byte("calls")) {
			return
		}
		once.Do(func() {
			var all sync.WaitGroup
			for _, m := range d.machines {
				all.Go(func() { m.losePower(downTime) })
			}
			all.Wait()
			struck <- time.Now()
		})
	}
}
