package main

import (
	"fmt"
	"slices"
	"time"

	standin "github.com/cyclamenpin/cyclamenpin/internal/standin/platform/council"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

const (
	// cutTime, stormTime and stormPause are the largest doses of core_cut and
	// config_storm on the sheet's site.
	cutTime    = 5500 * time.Millisecond
	stormTime  = 4 * time.Second
	stormPause = 80 * time.Millisecond
	// stableTime and applyTime are StableMs and ConfigApplyMs.
	stableTime = 5 * time.Second
	applyTime  = 3 * time.Second
	// configurationRoutes is how many routes the configuration has. Its row stays below
	// RowBytes, 65,536 bytes.
	configurationRoutes = 585
	observeTime         = 12 * time.Second
	askPause            = 200 * time.Millisecond
	// movedRoute is the route that the last version moves to the other service.
	movedRoute = "delivery-orders"
)

// playConfiguration has the operator write a storm of configurations, the last of which
// moves a route to another service. With trouble, one machine is cut off from the store
// meanwhile. Writes by the route through machines in touch must run at the new service.
func playConfiguration(d *deployment, trouble bool) int {
	if !d.awaitRotation() {
		d.record.printf("the machines are not ready")
		return exitNoRun
	}
	routes := []standin.Route{primaryRoute(movedRoute, group)}
	for len(routes) < configurationRoutes {
		routes = append(routes, primaryRoute(fmt.Sprintf("depot-list-%06d", len(routes)), group))
	}
	version := uint64(10)
	d.configure(version, routes)
	d.pause(stableTime)
	victim := d.machines[0]
	if trouble {
		victim.storeLink.cut(true)
		d.record.printf("%s is cut off from the store", victim.name)
	}
	healed := time.Now().Add(cutTime)
	d.pause(200 * time.Millisecond)
	began := time.Now()
	for change := range int(stormTime / stormPause) {
		d.pause(time.Until(began.Add(time.Duration(change) * stormPause)))
		version += 3
		d.configure(version, routes)
	}
	moved := slices.Clone(routes)
	moved[0] = primaryRoute(movedRoute, other)
	d.pause(stormPause)
	d.configure(version+3, moved)
	acknowledged := time.Now()
	d.record.printf("%s leads to %s from now on", movedRoute, other)
	d.pause(time.Until(healed))
	if trouble {
		victim.storeLink.cut(false)
		d.record.printf("%s reaches the store again", victim.name)
	}
	inTouch := time.Now().Add(stableTime)
	if due := acknowledged.Add(applyTime); due.After(inTouch) {
		inTouch = due
	}
	d.pause(time.Until(inTouch))
	d.record.printf("all machines are in touch, and ConfigApplyMs has passed")
	code := d.observeMovedRoute()
	victim.recordLog("store lost")
	victim.recordLog("history no longer available")
	return code
}

// observeMovedRoute writes by the moved route through each machine and reports whether a
// write ran at the old service.
func (d *deployment) observeMovedRoute() int {
	sent := 0
	acknowledged := make(map[string]string)
	for end := time.Now().Add(observeTime); time.Now().Before(end); d.pause(askPause) {
		for _, m := range d.machines {
			sent++
			id := fmt.Sprintf("order%d", sent)
			reply, err := writeOnce(m.clients, movedRoute, id)
			d.record.printf("%s: session by %s, QUERY %s WRITE order-1 x -> %s %s %v", m.name, movedRoute, id, reply.Code, reply.Proof, err)
			if err == nil && reply.Code == state.CodeNone {
				acknowledged[id] = m.name
			}
		}
	}
	atOld := 0
	for _, commit := range d.groups[group].Commits() {
		for _, id := range commit.IDs {
			if through, was := acknowledged[id]; was {
				atOld++
				d.record.printf("%s was run by %s of the old service %s, through %s", id, commit.Database, group, through)
			}
		}
	}
	d.record.printf("%d writes sent, %d acknowledged, %d of these run by the old service", sent, len(acknowledged), atOld)
	switch {
	case len(acknowledged) == 0:
		return exitNoRun
	case atOld > 0:
		d.record.printf("CONFIG: requests that were sent later than ConfigApplyMs after the ack were run by the old service, through a machine in touch")
		return exitBroken
	default:
		return exitHeld
	}
}

// writeOnce opens a session by a route, sends one write and ends the session.
func writeOnce(address, route, id string) (state.Reply, error) {
	s, err := openSession(address)
	if err != nil {
		return state.Reply{}, err
	}
	defer s.close()
	if reply, err := s.exchange("CONNECT " + route); err != nil || reply.Code != state.CodeNone {
		return reply, err
	}
	return s.exchange("QUERY " + id + " WRITE order-1 x")
}
