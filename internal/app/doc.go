// Package app builds an instance with fx, with one module per layer, and starts
// and stops its components in order.
package app
