package cli

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rotisserie/eris"
)

const dumpHelp = `Prints the state of a running instance: its pools, sessions, groups with
their terms and positions, queues by plan, configuration revision, peers, and
what was refused and why. The dump holds no secret and no row data.

The table flattens the state, one value a line; --output json prints it as it
is.`

// dumpTimeout limits the request to the instance.
const dumpTimeout = 10 * time.Second

func dumpCommand(stdout, stderr io.Writer) *ffcli.Command {
	flags := flag.NewFlagSet("cyclamenpin dump", flag.ContinueOnError)
	flags.SetOutput(stderr)
	adminURL := flags.String("admin", defaultAdminURL, "URL of the instance's admin server")
	token := flags.String("admin-token", "", "operators' credential")
	output := flags.String("output", "table", "table or json")
	return &ffcli.Command{
		Name:       "dump",
		ShortUsage: "cyclamenpin dump [--admin URL] [--output table|json]",
		ShortHelp:  "print the state of a running instance",
		LongHelp:   dumpHelp,
		FlagSet:    flags,
		Options:    []ff.Option{ff.WithEnvVarPrefix(envPrefix)},
		Exec: func(ctx context.Context, args []string) error {
			if len(args) > 0 {
				return usageError("dump takes no arguments")
			}
			document, err := fetchDump(ctx, *adminURL, *token)
			if err != nil {
				return err
			}
			return printDump(stdout, document, *output)
		},
	}
}

func fetchDump(ctx context.Context, adminURL, token string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, dumpTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, strings.TrimSuffix(adminURL, "/")+"/dump", nil)
	if err != nil {
		return nil, usageError("--admin: " + err.Error())
	}
	if token != "" {
		request.Header.Set("Authorization", "Bearer "+token)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, eris.Wrap(err, "request the dump")
	}
	defer response.Body.Close()
	document, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, eris.Wrap(err, "read the dump")
	}
	if response.StatusCode != http.StatusOK {
		return nil, eris.Errorf("request the dump from %s: %s: %s", adminURL, response.Status, strings.TrimSpace(string(document)))
	}
	return document, nil
}

func printDump(stdout io.Writer, document []byte, output string) error {
	switch output {
	case "json":
		_, err := stdout.Write(document)
		return err
	case "table":
		var value any
		if err := json.Unmarshal(document, &value); err != nil {
			return eris.Wrap(err, "decode the dump")
		}
		table := tabwriter.NewWriter(stdout, 0, 0, 2, ' ', 0)
		printValue(table, "", value)
		return table.Flush()
	default:
		return usageError("--output: want table or json")
	}
}

// printValue prints each leaf of a JSON value on a line with its path.
func printValue(table io.Writer, path string, value any) {
	switch value := value.(type) {
	case map[string]any:
		for _, key := range sortedKeys(value) {
			printValue(table, joinPath(path, key), value[key])
		}
	case []any:
		for i, element := range value {
			printValue(table, fmt.Sprintf("%s[%d]", path, i), element)
		}
	default:
		fmt.Fprintf(table, "%s\t%s\n", printable(path), printable(formatLeaf(path, value)))
	}
}

// formatLeaf formats a leaf value. A number whose path ends in _ns is formatted
// as a duration.
func formatLeaf(path string, value any) string {
	number, isNumber := value.(float64)
	if isNumber && strings.HasSuffix(path, "_ns") {
		return time.Duration(number).Round(time.Microsecond).String()
	}
	if isNumber {
		return fmt.Sprintf("%.10g", number)
	}
	return fmt.Sprint(value)
}

func joinPath(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}
