// Package routing decides, at the entry instance, which backend server runs a
// request and through which owner it is reached: the primary for writes, a
// replica that satisfies the floor for reads, near and lightly loaded ones
// first.
package routing
