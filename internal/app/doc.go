// Package app wires an instance together with fx: one module a layer, and the
// order in which its parts start and stop.
package app
