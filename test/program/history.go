package program

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
)

// productionLine is the line of the deploy file that names the commit in production.
var productionLine = regexp.MustCompile(`(?m)^production = "([0-9a-f]+)"$`)

// Production returns the commit that the deploy file names as the one in production.
func Production(deployFile string) (string, error) {
	text, err := os.ReadFile(deployFile) //nolint:gosec // the path is ours
	if err != nil {
		return "", err
	}
	found := productionLine.FindSubmatch(text)
	if found == nil {
		return "", fmt.Errorf("%s names no commit in production", deployFile)
	}
	return string(found[1]), nil
}

// BuildCommit builds the program of a commit of the repository's history into a folder
// and returns the path of the binary.
func BuildCommit(repository, commit, folder string) (string, error) {
	if out, err := exec.Command("git", "-C", repository, "cat-file", "-e", commit+"^{commit}").CombinedOutput(); err != nil { //nolint:gosec // the commit is the caller's
		return "", fmt.Errorf("commit %s is not in this clone's history, fetch it (git fetch --unshallow): %w: %s", commit, err, out)
	}
	tree := filepath.Join(folder, "tree-"+commit)
	if err := os.Mkdir(tree, 0o750); err != nil {
		return "", err
	}
	unpack := exec.Command("sh", "-c", `git -C "$1" archive "$2" | tar -x -C "$3"`, "sh", repository, commit, tree) //nolint:gosec // the commit is the caller's
	if out, err := unpack.CombinedOutput(); err != nil {
		return "", fmt.Errorf("unpack commit %s: %w: %s", commit, err, strings.TrimSpace(string(out)))
	}
	binary := filepath.Join(folder, "cyclamenpin-"+commit)
	build := exec.Command("go", "build", "-o", binary, "./cmd/cyclamenpin") //nolint:gosec // the path is ours
	build.Dir = tree
	if out, err := build.CombinedOutput(); err != nil {
		return "", fmt.Errorf("build commit %s: %w: %s", commit, err, out)
	}
	return binary, nil
}
