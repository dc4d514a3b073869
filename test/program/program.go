// Package program builds the cyclamenpin program for tests that run it as
// separate processes.
package program

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
)

// Run builds the program, stores the path of the binary in path, runs the tests
// of a package and returns their exit code. If the environment variable is set, it
// holds the path of another build to use instead, such as a deliberately broken
// variant.
func Run(tests interface{ Run() int }, variable string, path *string) int {
	if *path = os.Getenv(variable); *path != "" {
		return tests.Run()
	}
	folder, err := os.MkdirTemp("", "cyclamenpin")
	if err != nil {
		fmt.Fprintln(os.Stderr, "build the program:", err)
		return 1
	}
	defer func() { _ = os.RemoveAll(folder) }()
	*path = filepath.Join(folder, "cyclamenpin")
	build := exec.Command("go", "build", "-o", *path, "github.com/cyclamenpin/cyclamenpin/cmd/cyclamenpin") //nolint:gosec // the path is ours
	build.Stdout, build.Stderr = os.Stderr, os.Stderr
	if err := build.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "build the program:", err)
		return 1
	}
	return tests.Run()
}
