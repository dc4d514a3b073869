package processes

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// editRefusalBound is the time within which an edit must be refused while the
// platform is down. It is longer than the timeout of one call and shorter than
// an operator would wait before trying again.
const editRefusalBound = 10 * time.Second

type commandResult struct {
	code   int
	output string
}

// runConcurrently runs commands at the same time and returns their results in
// the order of the commands.
func runConcurrently(t *testing.T, commands ...[]string) []commandResult {
	t.Helper()
	results := make([]commandResult, len(commands))
	finished := make(chan struct{})
	for number, arguments := range commands {
		go func() {
			defer func() { finished <- struct{}{} }()
			results[number].code, results[number].output = command(t, arguments...)
		}()
	}
	for range commands {
		<-finished
	}
	return results
}

func TestTwoOperatorsRace(t *testing.T) {
	c := startCluster(t)
	live := c.live()
	edit := func(target *instance, connections int, extraArguments ...string) []string {
		return append([]string{
			"limits", "edit", "app", "--max-connections", fmt.Sprint(connections),
			"--admin", target.adminURL(), "--output", "json",
		}, extraArguments...)
	}
	// Both edits change the same entry of the same revision, so exactly one is
	// accepted. The slow platform makes both read before either writes.
	c.setSwitch(c.platform, "/switches", `{"slow_ms":300}`)
	base := c.dump(live[0]).Configuration.Revision
	results := runConcurrently(t,
		edit(live[0], 5, "--base", fmt.Sprint(base)),
		edit(live[2], 6, "--base", fmt.Sprint(base)))
	c.setSwitch(c.platform, "/switches", `{"slow_ms":0}`)
	accepted, refused := 0, 1
	if results[0].code != 0 {
		accepted, refused = 1, 0
	}
	require.Equal(t, 0, results[accepted].code, results[accepted].output)
	require.Equal(t, 1, results[refused].code, results[refused].output)
	require.Contains(t, results[refused].output, "limits/app")

	// The edits change different entries, so both are accepted with --rebase.
	passwordFile := c.file("other-password", "other")
	results = runConcurrently(t,
		edit(live[1], 7, "--rebase"),
		[]string{"plans", "edit", "other", "--user", "other", "--password-file", passwordFile, "--rebase", "--admin", live[3].adminURL()})
	for _, result := range results {
		require.Zero(t, result.code, result.output)
	}
	started := time.Now()
	output := mustCommand(t, edit(live[0], 8, "--wait")...)
	require.Less(t, time.Since(started), configurationBound)
	require.Contains(t, strings.Join(strings.Fields(output), ""), `"confirmed":4`)
	for _, instance := range live {
		require.Equal(t, base+4, c.dump(instance).Configuration.Revision, instance.id)
		listed := mustCommand(t, "limits", "list", "--output", "json", "--admin", instance.adminURL())
		require.Contains(t, listed, `"max_connections": 8`)
	}
}

func TestNewInstanceStartsWhileThePlatformIsDown(t *testing.T) {
	c := startCluster(t)
	revision := c.dump(c.live()[0]).Configuration.Revision
	c.setPlatformDown(true)
	var seeds []string
	for _, instance := range c.live() {
		seeds = append(seeds, instance.id+"="+instance.dataCentre+"="+instance.peer)
	}
	started := c.startInstance("i5", "dc2", "--seeds", strings.Join(seeds, ","))
	c.awaitReady(started, configurationBound)
	require.Equal(t, revision, c.dump(started).Configuration.Revision)
	s := mustConnect(t, started, "")
	s.mustExec(t, insert("new-1", "new"))
	seen, err := s.count("new", primaryBound)
	require.NoError(t, err)
	require.Equal(t, 1, seen)
}
