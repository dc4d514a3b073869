// Package program builds the program for the tests that run it as processes.
package program

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
)

// Build returns the path of the program under test, and removes it again. The
// named environment variable replaces it by another build, such as a
// deliberately broken variant.
func Build(variable string) (path string, remove func(), err error) {
	if path = os.Getenv(variable); path != "" {
		return path, func() {}, nil
	}
	folder, err := os.MkdirTemp("", "cyclamenpin")
	if err != nil {
		return "", nil, fmt.Errorf("build the program: %w", err)
	}
	remove = func() { _ = os.RemoveAll(folder) }
	path = filepath.Join(folder, "cyclamenpin")
	build := exec.Command("go", "build", "-o", path, "github.com/cyclamenpin/cyclamenpin/cmd/cyclamenpin") //nolint:gosec // the path is ours
	build.Stdout, build.Stderr = os.Stderr, os.Stderr
	if err := build.Run(); err != nil {
		remove()
		return "", nil, fmt.Errorf("build the program: %w", err)
	}
	return path, remove, nil
}
