package main

import (
	"time"

	standin "github.com/cyclamenpin/cyclamenpin/internal/standin/platform/council"
)

const (
	// shortMachinesDown is how long the machines are without power: 1.3 s in the small
	// sites' losses of power.
	shortMachinesDown = 1300 * time.Millisecond
	// partlyDown is how long the store refuses the calls for one table. Its outages in the
	// small site last 4.5 s.
	partlyDown = 4500 * time.Millisecond
)

// playUnreadConfiguration is playPowerLoss with machines that are back while the databases
// are still registered, and a store that refuses the operator's table meanwhile.
func playUnreadConfiguration(c *cluster, trouble bool) (broken []string, err error) {
	return c.writeAround(trouble, loss{machinesDown: shortMachinesDown, changedBefore: true, began: func() {
		c.refuseTable(tableOperator, partlyDown)
	}})
}

// refuseTable lets the store answer all calls for a table with 503 for a while.
func (c *cluster) refuseTable(table string, limit time.Duration) {
	c.record.line("store: refuses table %s", table)
	c.store.SetTableFaults(func(_, _, of string) standin.Fault {
		if of == table {
			return standin.FaultRefused
		}
		return standin.FaultNone
	})
	time.AfterFunc(limit, func() {
		c.store.SetTableFaults(nil)
		c.record.line("store: serves table %s again", table)
	})
}
