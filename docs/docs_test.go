package docs

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// sources returns the concatenated text of all Go files for which keep returns
// true.
func sources(t *testing.T, keep func(path string) bool) string {
	t.Helper()
	var all strings.Builder
	err := filepath.WalkDir("..", func(path string, entry os.DirEntry, err error) error {
		if err != nil || entry.IsDir() || filepath.Ext(path) != ".go" || !keep(path) {
			return err
		}
		text, err := os.ReadFile(path)
		all.Write(text)
		return err
	})
	require.NoError(t, err)
	return all.String()
}

func isTest(path string) bool {
	return strings.HasSuffix(path, "_test.go")
}

func read(t *testing.T, path string) string {
	t.Helper()
	text, err := os.ReadFile(path)
	require.NoError(t, err)
	return string(text)
}

func TestEveryMetricIsDocumented(t *testing.T) {
	product := sources(t, func(path string) bool { return !isTest(path) })
	page := read(t, "OPERATIONS.md")
	for _, match := range regexp.MustCompile("Create(?:Counter|Histogram|Gauge)\\((?:fmt\\.Sprintf\\()?`(cyclamenpin_[a-z_]+)|NewGauge\\(`(cyclamenpin_[a-z_]+)").FindAllStringSubmatch(product, -1) {
		require.True(t, strings.Contains(page, "`"+match[1]+match[2]), "%s: docs/OPERATIONS.md lacks the metric", match[1]+match[2])
	}
}

func TestEveryProxyFlagIsDocumented(t *testing.T) {
	source := read(t, "../internal/cli/proxy.go")
	page := read(t, "OPERATIONS.md")
	matches := regexp.MustCompile(`flags\.\w+\((?:&s\.\w+, )?"([a-z-]+)"`).FindAllStringSubmatch(source, -1)
	require.NotEmpty(t, matches)
	for _, match := range matches {
		require.True(t, strings.Contains(page, "`--"+match[1]+"`"), "%s: docs/OPERATIONS.md lacks the flag", match[1])
	}
}

func TestEveryReasonIsDocumented(t *testing.T) {
	page := read(t, "OPERATIONS.md")
	for _, match := range regexp.MustCompile(`Reason\w+ +Reason = "(\w+)"`).FindAllStringSubmatch(read(t, "../internal/state/outcome.go"), -1) {
		require.True(t, strings.Contains(page, "`"+match[1]+"`"), "%s: docs/OPERATIONS.md lacks the reason", match[1])
	}
}

func TestProofNamesOnlyTestsThatExist(t *testing.T) {
	tests := sources(t, isTest)
	matches := regexp.MustCompile("`((?:Test|Fuzz|Benchmark)\\w+)`").FindAllStringSubmatch(read(t, "PROOF.md"), -1)
	require.NotEmpty(t, matches)
	for _, match := range matches {
		require.True(t, strings.Contains(tests, "func "+match[1]+"("), "%s: docs/PROOF.md names a test that does not exist", match[1])
	}
}

func TestLinksBetweenPagesLeadSomewhere(t *testing.T) {
	pages, err := filepath.Glob("*.md")
	require.NoError(t, err)
	nested, err := filepath.Glob("design/*.md")
	require.NoError(t, err)
	for _, page := range append(append(pages, nested...), "../README.md", "../CONTRIBUTING.md") {
		for _, match := range regexp.MustCompile(`\]\(([^)#:]+)\)`).FindAllStringSubmatch(read(t, page), -1) {
			_, err := os.Stat(filepath.Join(filepath.Dir(page), match[1]))
			require.NoError(t, err, "%s links to %s", page, match[1])
		}
	}
}
