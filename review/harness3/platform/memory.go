package main

import (
	"fmt"
	"sync/atomic"
	"time"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

const (
	// largeRows and largeRowBytes are the result of reading largeItem with trouble. A row
	// is far below the largest message, 1 MiB.
	largeRows     = 1600
	largeRowBytes = 64_000
	// operationPause is the time between two readings of largeItem by the one requester
	// that does, and operationDeadline its deadline for each, with retries at most.
	operationPause    = 5 * time.Second
	operationDeadline = 5 * time.Second
	retries           = 2
	// ordinary is the number of other requesters.
	ordinary     = 40
	ordinaryTime = 250 * time.Millisecond
	playTime     = 60 * time.Second
	// leastEnds and leastMachines are those of the rule: three ends on a tenth of the
	// machines, two at least.
	leastEnds     = 3
	leastMachines = 2
)

type counts struct{ served, refused, broken atomic.Int64 }

// playMemory has one requester read a list now and then, beside others that read single
// rows. With trouble the list is long. No process may end by itself.
func playMemory(d *deployment, trouble bool) int {
	for _, p := range d.results {
		p.rows, p.rowBytes = 3, 100
		if trouble {
			p.rows, p.rowBytes = largeRows, largeRowBytes
		}
	}
	if !d.awaitRotation() {
		d.record.printf("the machines are not ready")
		return exitNoRun
	}
	d.record.printf("READ %s returns %d rows of %d bytes", largeItem, d.results[0].rows, d.results[0].rowBytes)
	var others, large counts
	for n := range ordinary {
		go d.readRows(n, &others)
	}
	end := time.Now().Add(playTime)
	for operation := 0; time.Now().Before(end); operation++ {
		d.pause(operationPause)
		d.readList(operation, &large)
	}
	d.record.printf("%s: %d reads served, %d refused, %d broken off", largeItem, large.served.Load(), large.refused.Load(), large.broken.Load())
	d.record.printf("other requesters: %d reads served, %d refused, %d broken off", others.served.Load(), others.refused.Load(), others.broken.Load())
	ended := 0
	for _, m := range d.machines {
		m.mu.Lock()
		d.record.printf("%s: peak %d MB, ended %d times for its memory", m.name, m.peak>>20, m.kills)
		if m.kills >= leastEnds {
			ended++
		}
		m.mu.Unlock()
	}
	switch {
	case others.served.Load() == 0:
		return exitNoRun
	case ended >= leastMachines:
		d.record.printf("Fault: without a disturbance there, the processes of %d of %d machines ended by themselves %d times or more", ended, machines, leastEnds)
		return exitBroken
	default:
		return exitHeld
	}
}

// readList is one operation that reads largeItem. After a broken connection it is
// retried at another machine, as an operation that only reads.
func (d *deployment) readList(operation int, c *counts) {
	deadline := time.Now().Add(operationDeadline)
	for try := 0; try <= retries && time.Now().Before(deadline); try++ {
		m := d.choose(operation + try)
		if m == nil {
			d.pause(ordinaryTime)
			continue
		}
		id := fmt.Sprintf("list%dt%d", operation, try)
		reply, err := readOnce(m.clients, "desk", id, largeItem)
		d.record.printf("%s: QUERY %s READ %s -> %s, %d rows, %v", m.name, id, largeItem, reply.Code, len(reply.Rows), err)
		c.add(reply, err)
		if err == nil && reply.Code == state.CodeNone {
			return
		}
		d.pause(ordinaryTime)
	}
}

func (c *counts) add(reply state.Reply, err error) {
	switch {
	case err != nil:
		c.broken.Add(1)
	case reply.Code != state.CodeNone:
		c.refused.Add(1)
	default:
		c.served.Add(1)
	}
}

// readRows reads single rows over sessions of its own until the deployment stops.
func (d *deployment) readRows(number int, c *counts) {
	for n := 0; !d.pause(ordinaryTime); n++ {
		if m := d.choose(number); m != nil {
			reply, err := readOnce(m.clients, "cab", fmt.Sprintf("r%dn%d", number, n), "order-1")
			c.add(reply, err)
			if err != nil {
				d.record.printf("%s: read r%dn%d broken off: %v", m.name, number, n, err)
			}
		}
	}
}

// readOnce opens a session by a route, reads an item and ends the session.
func readOnce(address, route, id, item string) (state.Reply, error) {
	s, err := openSession(address)
	if err != nil {
		return state.Reply{}, err
	}
	defer s.close()
	if reply, err := s.exchange("CONNECT " + route); err != nil || reply.Code != state.CodeNone {
		return reply, err
	}
	return s.exchange("QUERY " + id + " READ " + item)
}
