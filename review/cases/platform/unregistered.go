package main

import "time"

// storeCut is how long the near replica can't reach the store: 5 s is the usual length of
// a cut between a database and the store.
const storeCut = 5 * time.Second

// playUnregistered lets the near replica lose its registration while it goes on receiving
// and acknowledging, and then the primary and the near replica go dark.
func playUnregistered(c *cluster, trouble bool) (broken []string, err error) {
	group := c.groups[0]
	primary, near := group.Database(1), group.Database(2)
	far := &farReplica{group: group, database: group.Database(3)}
	return c.writeWhile(trouble, far, func() {
		far.resume()
		c.serverOf(near).setCutOff(true)
		c.record.line("%s is cut off from the store", near.ID)
		time.Sleep(storeCut)
		far.awaitDelay()
		lostAt := c.goDark(far, primary, near)
		c.serverOf(near).setCutOff(false)
		c.awaitDatabases(lostAt, primary, near)
	})
}
