// Command cyclamenpin is a database proxy with session consistency and its
// operators' client, in one binary.
package main

import (
	"os"

	"github.com/cyclamenpin/cyclamenpin/internal/cli"
)

func main() {
	os.Exit(cli.Run(os.Args[1:], os.Stdout, os.Stderr))
}
