package cli

import (
	"bufio"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rotisserie/eris"
)

const explainHelp = `Tells the story of one request from the logs of entry instances.

Prints the lines on the request, and the lines on what the instances believed of
its group and databases shortly before and after, in the order of their times.
Reads FILEs, or standard input without any.`

// maxLogLine bounds one line of a log.
const maxLogLine = 1 << 20

// explainCommand is the subcommand that finds a request's cause in logs.
func explainCommand(stdin io.Reader, stdout, stderr io.Writer) *ffcli.Command {
	flags := flag.NewFlagSet("cyclamenpin explain", flag.ContinueOnError)
	flags.SetOutput(stderr)
	around := flags.Duration("around", 5*time.Second, "how long before and after the request to look for its surroundings")
	return &ffcli.Command{
		Name:       "explain",
		ShortUsage: "cyclamenpin explain [flags] REQUEST [FILE...]",
		ShortHelp:  "tell the story of a request from logs",
		LongHelp:   explainHelp,
		FlagSet:    flags,
		Exec: func(_ context.Context, args []string) error {
			if len(args) == 0 {
				return usageError("explain needs a request's id")
			}
			lines, err := readLogs(args[1:], stdin)
			if err != nil {
				return err
			}
			return explain(stdout, args[0], lines, *around)
		},
	}
}

// logLine is one line of an instance's log.
type logLine struct {
	at     time.Time
	fields map[string]any
}

func (l logLine) text(field string) string {
	text, _ := l.fields[field].(string)
	return text
}

// countsSamplesOnly reports whether the line says that only lines of ordinary
// requests were left out, as happens each second under load.
func (l logLine) countsSamplesOnly() bool {
	if _, counts := l.fields["ordinary"]; !counts {
		return false
	}
	for _, kind := range []string{"failures", "beliefs", "lost"} {
		if n, _ := l.fields[kind].(float64); n > 0 {
			return false
		}
	}
	return true
}

func readLogs(files []string, stdin io.Reader) ([]logLine, error) {
	if len(files) == 0 {
		return parseLog(stdin)
	}
	var all []logLine
	for _, name := range files {
		file, err := os.Open(name) //nolint:gosec // the operator names the file
		if err != nil {
			return nil, eris.Wrap(err, "open a log")
		}
		lines, err := parseLog(file)
		_ = file.Close()
		if err != nil {
			return nil, eris.Wrapf(err, "read %s", name)
		}
		all = append(all, lines...)
	}
	return all, nil
}

// parseLog reads the lines that hold a JSON object, whatever a collector wrote
// before it. Other lines are not the instances'.
func parseLog(input io.Reader) ([]logLine, error) {
	var lines []logLine
	scanner := bufio.NewScanner(input)
	scanner.Buffer(nil, maxLogLine)
	for scanner.Scan() {
		text := scanner.Text()
		start := strings.IndexByte(text, '{')
		if start < 0 {
			continue
		}
		line := logLine{}
		if json.Unmarshal([]byte(text[start:]), &line.fields) != nil {
			continue
		}
		at, err := time.Parse(time.RFC3339Nano, line.text("time"))
		if err != nil {
			continue
		}
		line.at = at
		lines = append(lines, line)
	}
	return lines, eris.Wrap(scanner.Err(), "read a log")
}

func explain(output io.Writer, id string, lines []logLine, around time.Duration) error {
	own := slices.DeleteFunc(slices.Clone(lines), func(l logLine) bool { return l.text("request") != id })
	if len(own) == 0 {
		return eris.Errorf("no line on request %s; lines of ordinary requests are sampled, see cyclamenpin_log_lines_left_out_total", id)
	}
	story := slices.DeleteFunc(slices.Clone(lines), func(l logLine) bool { return !concerns(l, own, id, around) })
	slices.SortStableFunc(story, func(a, b logLine) int { return a.at.Compare(b.at) })
	for _, line := range story {
		mark := " "
		if line.text("request") == id {
			mark = "*"
		}
		fmt.Fprintf(output, "%s %s %-24s %s%s\n", mark, line.at.Format("15:04:05.000"), line.text("instance"), line.text("message"), details(line))
	}
	return nil
}

// concerns reports whether a line is on the request, or on its surroundings:
// anything but other requests, of its group, its databases, or of the instance
// as a whole.
func concerns(line logLine, own []logLine, id string, around time.Duration) bool {
	if request := line.text("request"); request != "" {
		return request == id
	}
	if line.countsSamplesOnly() {
		return false
	}
	for _, mine := range own {
		if line.at.Sub(mine.at).Abs() > around {
			continue
		}
		if group := line.text("group"); group != "" {
			return group == mine.text("group")
		}
		if database := line.text("database"); database != "" {
			return database == mine.text("database")
		}
		if line.text("instance") == mine.text("instance") {
			return true
		}
	}
	return false
}

// details writes a line's other fields as name=value.
func details(line logLine) string {
	var text strings.Builder
	for _, name := range slices.Sorted(maps.Keys(line.fields)) {
		switch name {
		case "time", "instance", "message", "level", "run":
			continue
		}
		if value := line.fields[name]; value != "" {
			fmt.Fprintf(&text, " %s=%v", name, value)
		}
	}
	return text.String()
}
