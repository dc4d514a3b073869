package processes

import (
	"bufio"
	"context"
	"errors"
	"io"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cyclamenpin/cyclamenpin/test/program"
)

const (
	// startBound is how long a process may take to report its addresses.
	startBound = 30 * time.Second
	// drainBound is the default limit of a graceful stop with a margin for the
	// exit of the process.
	drainBound = 40 * time.Second
	// pollInterval is the pause between checks of a condition.
	pollInterval = 20 * time.Millisecond
	// maxKeptLines is how many of the last lines of a process's output a failed
	// test prints.
	maxKeptLines = 60
)

// binary is the path of the program under test. CYCLAMENPIN_BINARY names
// another one, such as a deliberately broken variant.
var binary string

func TestMain(m *testing.M) {
	os.Exit(program.Run(m, "CYCLAMENPIN_BINARY", &binary))
}

// process is one process started by a test. It is signalled by its process id.
type process struct {
	name   string
	cmd    *exec.Cmd
	exited chan struct{} // closed once the process has been waited for

	mu    sync.Mutex // protects lines
	lines []string   // the last lines of its output
}

// startProcess starts the program and calls onLine for each line of its output.
// The process is killed at the end of the test at the latest.
func startProcess(t *testing.T, name string, onLine func(string), arguments ...string) *process {
	t.Helper()
	p := &process{name: name, cmd: exec.Command(binary, arguments...), exited: make(chan struct{})}
	// The process gets its own process group. Otherwise, when the shell that
	// started the tests exits, the kernel sends SIGHUP to the suspended members of
	// the orphaned group.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	reader, writer := io.Pipe()
	p.cmd.Stdout, p.cmd.Stderr = writer, writer
	require.NoError(t, p.cmd.Start(), name)
	t.Cleanup(func() { p.end(t) })
	go p.collect(reader, onLine)
	go func() {
		_ = p.cmd.Wait()
		_ = writer.Close()
		close(p.exited)
	}()
	return p
}

func (p *process) collect(output io.Reader, onLine func(string)) {
	scanner := bufio.NewScanner(output)
	scanner.Buffer(nil, 1<<20)
	for scanner.Scan() {
		p.mu.Lock()
		p.lines = append(p.lines, scanner.Text())
		if len(p.lines) > maxKeptLines {
			p.lines = p.lines[1:]
		}
		p.mu.Unlock()
		onLine(scanner.Text())
	}
	_, _ = io.Copy(io.Discard, output)
}

// end kills the process and, if the test failed, prints the last lines of its
// output.
func (p *process) end(t *testing.T) {
	p.kill()
	if t.Failed() {
		p.mu.Lock()
		defer p.mu.Unlock()
		t.Logf("output of %s:\n%s", p.name, strings.Join(p.lines, "\n"))
	}
}

// kill ends the process with SIGKILL, which also works while it is suspended.
func (p *process) kill() {
	_ = p.cmd.Process.Kill()
	<-p.exited
}

func (p *process) suspend(t *testing.T) {
	t.Helper()
	require.NoError(t, p.cmd.Process.Signal(syscall.SIGSTOP))
}

func (p *process) resume(t *testing.T) {
	t.Helper()
	require.NoError(t, p.cmd.Process.Signal(syscall.SIGCONT))
}

// stop sends SIGTERM and requires that the process exits with code 0 in time.
func (p *process) stop(t *testing.T) {
	t.Helper()
	require.NoError(t, p.cmd.Process.Signal(syscall.SIGTERM))
	select {
	case <-p.exited:
	case <-time.After(drainBound):
		require.Fail(t, "not stopped in time", p.name)
	}
	require.Zero(t, p.cmd.ProcessState.ExitCode(), p.name)
}

// command runs a subcommand to its end and returns its exit code and output.
func command(t *testing.T, arguments ...string) (int, string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), drainBound)
	defer cancel()
	output, err := exec.CommandContext(ctx, binary, arguments...).CombinedOutput()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		require.NoError(t, err)
	}
	if exit != nil {
		return exit.ExitCode(), string(output)
	}
	return 0, string(output)
}

// mustCommand runs a subcommand that must succeed.
func mustCommand(t *testing.T, arguments ...string) string {
	t.Helper()
	code, output := command(t, arguments...)
	require.Zero(t, code, "%v: %s", arguments, output)
	return output
}

// eventually waits until a condition holds and fails the test after bound.
// Arguments of the message that are pointers to strings are dereferenced only
// at the failure, so they show the latest value.
func eventually(t *testing.T, bound time.Duration, condition func() bool, message string, arguments ...any) {
	t.Helper()
	deadline := time.Now().Add(bound)
	for !condition() {
		if time.Now().After(deadline) {
			for number, argument := range arguments {
				if text, ok := argument.(*string); ok {
					arguments[number] = *text
				}
			}
			require.Failf(t, "condition not met within "+bound.String(), message, arguments...)
		}
		time.Sleep(pollInterval)
	}
}
