// Package properties contains property tests of sessions, routing, ownership,
// admission, execution, replication and failover working together. Several
// instances run the real components in virtual time, with an in-memory database
// group, platform and network into which the tests inject schedules of faults.
package properties
