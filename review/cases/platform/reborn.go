package main

import (
	"time"

	standin "github.com/cyclamenpin/cyclamenpin/internal/standin/platform/council"
)

// restartTime is how long the replica needs to start again.
const restartTime = time.Second

// playReborn lets the primary go dark and the near replica start again under its id, with
// nothing of what it held.
func playReborn(c *cluster, trouble bool) (broken []string, err error) {
	group := c.groups[0]
	primary, near := group.Database(1), group.Database(2)
	far := &farReplica{group: group, database: group.Database(3)}
	// The log is empty now, and stays so: the database receives nothing until it runs.
	reborn := group.Add(4, "")
	reborn.SetDeaf(true)
	reborn.ID = near.ID
	reborn.Stay()
	return c.writeWhile(trouble, far, func() { c.restartEmpty(primary, near, reborn, far) })
}

// restartEmpty stops the primary and a replica. The replica's machine runs reborn soon
// after, the primary is back later with its log.
func (c *cluster) restartEmpty(primary, near, reborn *standin.Database, far *farReplica) {
	primary.Crash(true)
	near.Crash(false)
	c.record.line("%s goes dark, %s crashes", primary.ID, near.ID)
	far.resume()
	lostAt := time.Now()
	time.Sleep(restartTime)
	c.serverOf(near).run(reborn)
	c.record.line("%s has started again, with nothing of before", reborn.ID)
	for time.Since(lostAt) < primaryDown && !far.group.Leader().Running() {
		time.Sleep(receivePace)
	}
	// It receives from whichever database leads and runs.
	reborn.SetDeaf(false)
	time.Sleep(time.Until(lostAt.Add(primaryDown)))
	primary.Restart()
	c.record.line("%s is back with its log", primary.ID)
}
