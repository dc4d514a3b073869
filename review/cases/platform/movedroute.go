package main

import (
	"fmt"
	"strings"
	"time"

	standin "github.com/cyclamenpin/cyclamenpin/internal/standin/platform/council"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// Figures of the site poolchem-dispatch: replicas apply up to 360 ms late, versions of a
// configuration follow each other after 80 ms or more, session reads accept data that is
// 2,500 ms old besides the session's own.
const (
	applyDelay     = 300 * time.Millisecond
	versionGap     = 80 * time.Millisecond
	stalenessMs    = 2500
	movedRounds    = 8
	movedRoutePace = 2 * time.Second
)

func movedRouteDeployment() deployment {
	var groups []standin.Options
	for _, name := range []state.GroupID{"db-a", "db-b"} {
		groups = append(groups, standin.Options{
			Group: name, Databases: 3, MaxConnections: maxConnections, Slots: slots, MaxQueued: queued, ServiceTime: 2 * time.Millisecond,
			ReceiveDelay: time.Millisecond, ApplyDelay: applyDelay, PromotionDelay: time.Second,
		})
	}
	return deployment{
		zones: []string{"chc-depot", "dud-depot", "wlg-depot"}, instances: 2, groups: groups, routes: movedRoutes("db-a"),
	}
}

// movedRoutes returns the routes with the session route to a service. A version that moves
// it removes one route and adds another with the same host.
func movedRoutes(backend string) []route {
	return []route{
		{Name: "r-driver-" + backend, Host: "driver-confirm", Type: "session", Backend: backend, Prio: 2, TimeoutMs: 800, SloMs: 800, MaxStalenessMs: stalenessMs},
		{Name: "r-order", Host: "order-entry", Type: "primary", Backend: "db-a", Prio: 1, TimeoutMs: 800, SloMs: 400},
	}
}

// playMovedRoute lets a session write, moves its route to another service and back, and
// reads the write again in the same session.
func playMovedRoute(c *cluster, trouble bool) (broken []string, err error) {
	stop := make(chan struct{})
	defer close(stop)
	go c.readOrders(stop)
	time.Sleep(3 * time.Second)
	for round := range movedRounds {
		what, err := c.moveAndRead(round, trouble)
		if err != nil {
			return nil, err
		}
		if what != "" {
			broken = append(broken, what)
		}
		time.Sleep(movedRoutePace)
	}
	return broken, nil
}

// readOrders reads at the primary of the first service all the time, as the other clients
// of a deployment do.
func (c *cluster) readOrders(stop chan struct{}) {
	for {
		cl, err := c.connect(c.instances[1], "order-entry", "orders")
		for err == nil {
			select {
			case <-stop:
				cl.close()
				return
			case <-time.After(50 * time.Millisecond):
			}
			_, err = cl.query("READ 1")
		}
		select {
		case <-stop:
			return
		case <-time.After(100 * time.Millisecond):
		}
	}
}

func (c *cluster) moveAndRead(round int, trouble bool) (broken string, err error) {
	cl, err := c.connect(c.instances[1], "driver-confirm", fmt.Sprintf("driver-%d", round))
	if err != nil {
		return "", fmt.Errorf("%w: %w", errSetup, err)
	}
	defer cl.close()
	item, data := fmt.Sprintf("drop-%d", round), fmt.Sprintf("confirmed-%d", round)
	write, err := cl.query("WRITE " + item + " " + data)
	cl.log("WRITE "+item, write, err)
	if err != nil || !write.ok() {
		return "", fmt.Errorf("%w: the first write failed", errSetup)
	}
	if trouble {
		c.configure(movedRoutes("db-b"))
	}
	time.Sleep(versionGap / 2)
	// The session goes on writing; this one runs at the service of the time.
	other, err := cl.query("WRITE other-" + item + " x")
	cl.log("WRITE other-"+item, other, err)
	time.Sleep(versionGap - versionGap/2)
	if trouble {
		c.configure(movedRoutes("db-a"))
	}
	time.Sleep(versionGap / 2)
	read, err := cl.query("READ " + item)
	cl.log("READ "+item, read, err)
	if err != nil || !read.ok() {
		return "", nil
	}
	return c.judgeRead(item, data, write, read), nil
}

// judgeRead returns what is wrong with a read of an item that the session wrote before.
func (c *cluster) judgeRead(item, data string, write, read answer) string {
	for _, ran := range c.group("db-a").Reads() {
		if ran.Proof != read.proof {
			continue
		}
		position := c.positionOf(write.id)
		c.record.line("READ %s ran at %s with its log at %v; the session's commit is %v at %s", item, ran.Database, ran.Applied, position.Position, position.Database)
		if !ran.Applied.Covers(position.Position) {
			return fmt.Sprintf("STALE: the session read %s %s after its write was acknowledged, on %s, whose log ended at %v and lacked its commit %v: rows %q instead of %q",
				item, read.sent.Sub(write.got).Round(time.Millisecond), ran.Database, ran.Applied, position.Position, strings.Join(read.rows, " "), data)
		}
	}
	return ""
}

func (c *cluster) positionOf(id string) standin.Commit {
	for _, commit := range c.group("db-a").Commits() {
		for _, of := range commit.IDs {
			if of == id {
				return commit
			}
		}
	}
	return standin.Commit{}
}
