// Package capacity measures how the costs of an instance's parts grow with the
// size of the system. It runs on loopback with small stand-ins and fits a line
// through the points of each series. The figures in docs/CAPACITY.md are
// calculated from the slopes.
//
// Processor time is that of the whole process, so it includes everything that a
// measurement runs. The name of each series states what is included.
package capacity
