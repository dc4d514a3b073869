// Package capacity measures what the parts of an instance cost as their number
// grows, on loopback and beside small stand-ins, and fits a line through the
// points. docs/CAPACITY.md is worked out from its slopes.
//
// Processor time is that of the whole process, so a figure includes whatever
// else the measurement runs; each series says what that is.
package capacity
