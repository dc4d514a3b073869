// Package processes holds the failure tests that run the built program as
// separate processes on loopback addresses, one address a data centre. The
// tests start and end the processes themselves. No verdict depends on how fast
// the machine is: every wait is for a condition, bounded by a stated target.
package processes
