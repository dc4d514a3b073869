package cli

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
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

// maxLogLine is the longest line of a log, in bytes.
const maxLogLine = 1 << 20

// explainCommand returns the subcommand that prints the timeline of a request
// from logs.
func explainCommand(stdin io.Reader, stdout, stderr io.Writer) *ffcli.Command {
	flags := flag.NewFlagSet("cyclamenpin explain", flag.ContinueOnError)
	flags.SetOutput(stderr)
	window := flags.Duration("around", 5*time.Second, "how long before and after the request to look for its surroundings")
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
			return explain(stdout, args[0], lines, *window)
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

// countsOrdinaryLinesOnly reports whether the line counts log lines left out by
// sampling, all of them of ordinary requests. Under load, an instance logs such
// a line each second.
func (l logLine) countsOrdinaryLinesOnly() bool {
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
			return nil, eris.Wrap(err, "open the log")
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

// parseLog parses the lines that contain a JSON object with a time. Text before
// the object, such as the prefix of a log collector, is ignored. Other lines do
// not come from an instance and are skipped, as are longer ones than maxLogLine.
func parseLog(input io.Reader) ([]logLine, error) {
	var lines []logLine
	reader := bufio.NewReaderSize(input, maxLogLine)
	for {
		text, err := reader.ReadSlice('\n')
		if err == nil || errors.Is(err, io.EOF) {
			if line, ok := parseLogLine(text); ok {
				lines = append(lines, line)
			}
		}
		for errors.Is(err, bufio.ErrBufferFull) {
			_, err = reader.ReadSlice('\n')
		}
		if errors.Is(err, io.EOF) {
			return lines, nil
		}
		if err != nil {
			return nil, eris.Wrap(err, "read the log")
		}
	}
}

func parseLogLine(text []byte) (logLine, bool) {
	start := bytes.IndexByte(text, '{')
	line := logLine{}
	if start < 0 || json.Unmarshal(text[start:], &line.fields) != nil {
		return line, false
	}
	at, err := time.Parse(time.RFC3339Nano, line.text("time"))
	line.at = at
	return line, err == nil
}

// explain prints the lines that are relevant to a request in the order of their
// times, and marks the request's own lines with a star.
func explain(output io.Writer, id string, lines []logLine, window time.Duration) error {
	ownLines := slices.DeleteFunc(slices.Clone(lines), func(l logLine) bool { return l.text("request") != id })
	if len(ownLines) == 0 {
		return eris.Errorf("no line on request %s; lines of ordinary requests are sampled, see cyclamenpin_log_lines_left_out_total", id)
	}
	timeline := slices.DeleteFunc(slices.Clone(lines), func(l logLine) bool { return !isRelevant(l, ownLines, id, window) })
	slices.SortStableFunc(timeline, func(a, b logLine) int { return a.at.Compare(b.at) })
	for _, line := range timeline {
		mark := " "
		if line.text("request") == id {
			mark = "*"
		}
		fmt.Fprintf(output, "%s %s %-24s %s%s\n", mark, line.at.Format("15:04:05.000"), printable(line.text("instance")), printable(line.text("message")), formatDetails(line))
	}
	return nil
}

// isRelevant reports whether a line belongs in the timeline of a request. The
// request's own lines do, and lines of other requests do not. A line without a
// request does if it is at most window away from one of the request's lines and
// is on the same group, the same database or, if it names neither, the same
// instance.
func isRelevant(line logLine, ownLines []logLine, id string, window time.Duration) bool {
	if request := line.text("request"); request != "" {
		return request == id
	}
	if line.countsOrdinaryLinesOnly() {
		return false
	}
	for _, ownLine := range ownLines {
		if line.at.Sub(ownLine.at).Abs() > window {
			continue
		}
		if group := line.text("group"); group != "" {
			return group == ownLine.text("group")
		}
		if database := line.text("database"); database != "" {
			return database == ownLine.text("database")
		}
		if line.text("instance") == ownLine.text("instance") {
			return true
		}
	}
	return false
}

// formatDetails formats the fields that explain does not print otherwise, as
// name=value.
func formatDetails(line logLine) string {
	var text strings.Builder
	for _, name := range slices.Sorted(maps.Keys(line.fields)) {
		switch name {
		case "time", "instance", "message", "level", "run":
			continue
		}
		if value := line.fields[name]; value != "" {
			fmt.Fprintf(&text, " %s=%s", printable(name), printable(fmt.Sprint(value)))
		}
	}
	return text.String()
}
