// Package properties proves that sessions, routing, ownership, admission,
// execution, replication and failover keep their promises together. It holds
// tests only: several instances of the real parts run over a database group,
// a platform and peers in memory, in virtual time, under schedules of faults.
package properties
