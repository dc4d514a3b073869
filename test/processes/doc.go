// Package processes contains failure tests that run the built program as
// separate processes on loopback addresses, one address per data centre. The
// tests start and stop the processes themselves. Results do not depend on the
// speed of the machine: every wait is for a condition, with a stated target as
// its limit.
package processes
