// Package cli is the command line of cyclamenpin: its subcommands, their
// settings and their exit codes.
package cli
