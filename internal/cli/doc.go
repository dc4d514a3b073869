// Package cli implements the command line of cyclamenpin: its subcommands,
// their flags and their exit codes.
package cli
