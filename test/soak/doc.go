// Package soak runs entry instances as separate processes, lets things go wrong
// around them at random, and checks what their clients were told against what
// the databases did.
package soak
