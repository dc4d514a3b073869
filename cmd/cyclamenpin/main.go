// Command cyclamenpin runs a database proxy with session consistency. The same
// binary is the operators' client.
package main

import (
	"os"

	"github.com/cyclamenpin/cyclamenpin/internal/cli"
)

func main() {
	os.Exit(cli.Run(os.Args[1:], os.Stdout, os.Stderr))
}
