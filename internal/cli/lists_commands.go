package cli

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rotisserie/eris"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/configuration"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// defaultHistory is the number of edits that the history command shows by
// default.
const defaultHistory = 20

// listSpec holds what differs between the commands of the two lists.
type listSpec struct {
	name configuration.EntryList
	// show writes all entries if plan is empty, otherwise the entry of that
	// plan. It returns false if there is no such entry.
	show func(w io.Writer, current *state.Configuration, plan state.PlanID, output string) (bool, error)
	// editFlags registers the flags for an entry's fields and returns the
	// function that builds the change from them.
	editFlags func(flags *flag.FlagSet) makeChange
}

// makeChange returns the change of one entry of base that the flags specify.
// given reports whether a flag was on the command line.
type makeChange func(base *state.Configuration, plan state.PlanID, editID string, given func(string) bool) (configuration.Change, error)

// listCommands creates the commands of one list.
type listCommands struct {
	list   listSpec
	stdout io.Writer
	stderr io.Writer
}

func (c listCommands) root() *ffcli.Command {
	name := string(c.list.name)
	return &ffcli.Command{
		Name:       name,
		ShortUsage: "cyclamenpin " + name + " list|get|edit|apply|diff|history [flags]",
		ShortHelp:  "show and edit the list of " + name,
		FlagSet:    flag.NewFlagSet(name, flag.ContinueOnError),
		Subcommands: []*ffcli.Command{
			c.listCommand(), c.getCommand(), c.editCommand(), c.applyCommand(), c.diffCommand(), c.historyCommand(),
		},
		Exec: func(context.Context, []string) error { return flag.ErrHelp },
	}
}

// command returns a subcommand with the given flags.
func (c listCommands) command(name, usage, help string, flags *flag.FlagSet,
	exec func(ctx context.Context, arguments []string) error,
) *ffcli.Command {
	return &ffcli.Command{
		Name:       name,
		ShortUsage: fmt.Sprintf("cyclamenpin %s %s", c.list.name, usage),
		ShortHelp:  help,
		FlagSet:    flags,
		Exec:       exec,
	}
}

func (c listCommands) listCommand() *ffcli.Command {
	options := new(listOptions)
	flags := newFlagSet("list", c.stderr, options)
	return c.command("list", "list [flags]", "show all entries", flags, func(ctx context.Context, arguments []string) error {
		if err := errors.Join(rejectArguments(arguments), options.complete()); err != nil {
			return err
		}
		return c.print(ctx, options, "")
	})
}

func (c listCommands) getCommand() *ffcli.Command {
	options := new(listOptions)
	flags := newFlagSet("get", c.stderr, options)
	return c.command("get", "get PLAN [flags]", "show the entry of a plan", flags, func(ctx context.Context, arguments []string) error {
		plan, err := parseArgument(flags, arguments, "a plan")
		if err := errors.Join(err, options.complete()); err != nil {
			return err
		}
		return c.print(ctx, options, state.PlanID(plan))
	})
}

func (c listCommands) print(ctx context.Context, options *listOptions, plan state.PlanID) error {
	client := &adminClient{options: options}
	current, err := client.configuration(ctx, 0)
	if err != nil {
		return err
	}
	found, err := c.list.show(c.stdout, current, plan, options.output)
	if err == nil && !found {
		err = eris.Errorf("%s holds no entry of plan %s", c.list.name, plan)
	}
	return err
}

func (c listCommands) editCommand() *ffcli.Command {
	options := new(listOptions)
	edits := new(editOptions)
	flags := newFlagSet("edit", c.stderr, options)
	edits.register(flags)
	change := c.list.editFlags(flags)
	return c.command("edit", "edit PLAN [flags]", "add, change or remove the entry of a plan", flags,
		func(ctx context.Context, arguments []string) error {
			plan, err := parseArgument(flags, arguments, "a plan")
			if err := errors.Join(err, options.complete()); err != nil {
				return err
			}
			edits.complete()
			return c.submit(ctx, options, edits, func(base *state.Configuration) (configuration.Change, error) {
				return change(base, state.PlanID(plan), edits.editID, givenFlags(flags))
			})
		})
}

// givenFlags returns a function that reports whether a flag was on the command
// line.
func givenFlags(flags *flag.FlagSet) func(string) bool {
	given := make(map[string]bool)
	flags.Visit(func(f *flag.Flag) { given[f.Name] = true })
	return func(name string) bool { return given[name] }
}

func (c listCommands) applyCommand() *ffcli.Command {
	options := new(listOptions)
	edits := new(editOptions)
	flags := newFlagSet("apply", c.stderr, options)
	edits.register(flags)
	path := flags.String("f", "", "JSON file with the lists plans, limits or both, or - for standard input")
	return c.command("apply", "apply -f FILE [flags]", "replace the lists by those of a file", flags,
		func(ctx context.Context, arguments []string) error {
			file, err := fileArgument(arguments, options, *path)
			if err != nil {
				return err
			}
			edits.complete()
			if edits.base == 0 && file.Revision != nil {
				edits.base = uint64(*file.Revision)
			}
			err = c.submit(ctx, options, edits, func(base *state.Configuration) (configuration.Change, error) {
				return configuration.Diff(base, file.Merge(base)), file.Validate(base)
			})
			return file.AddLines(err)
		})
}

func (c listCommands) diffCommand() *ffcli.Command {
	options := new(listOptions)
	flags := newFlagSet("diff", c.stderr, options)
	path := flags.String("f", "", "JSON file as for apply")
	return c.command("diff", "diff -f FILE [flags]", "show what apply would change", flags,
		func(ctx context.Context, arguments []string) error {
			file, err := fileArgument(arguments, options, *path)
			if err != nil {
				return err
			}
			current, err := (&adminClient{options: options}).configuration(ctx, 0)
			if err != nil {
				return err
			}
			if err := file.Validate(current); err != nil {
				return err
			}
			change := redactedChange(configuration.Diff(current, file.Merge(current)))
			if options.output == outputJSON {
				return writeJSON(c.stdout, change)
			}
			writeChange(c.stdout, change)
			return nil
		})
}

// fileArgument reads the lists from the file at path. The command must have no
// positional arguments.
func fileArgument(arguments []string, options *listOptions, path string) (*configuration.File, error) {
	if err := errors.Join(rejectArguments(arguments), options.complete()); err != nil {
		return nil, err
	}
	return readFile(path)
}

func readFile(path string) (*configuration.File, error) {
	if path == "" {
		return nil, &UsageError{Message: "want -f FILE"}
	}
	if path == "-" {
		path = os.Stdin.Name()
	}
	content, err := os.ReadFile(path) // #nosec G304 -- the operator names the file
	if err != nil {
		return nil, eris.Wrap(err, "read the lists")
	}
	return configuration.ParseFile(content)
}

func (c listCommands) historyCommand() *ffcli.Command {
	options := new(listOptions)
	flags := newFlagSet("history", c.stderr, options)
	limit := flags.Int("limit", defaultHistory, "how many edits to show")
	return c.command("history", "history [flags]", "show the latest accepted edits", flags,
		func(ctx context.Context, arguments []string) error {
			if err := errors.Join(rejectArguments(arguments), options.complete()); err != nil {
				return err
			}
			revisions, err := (&adminClient{options: options}).history(ctx, *limit+1)
			if err != nil {
				return err
			}
			entries := historyEntries(revisions, c.list.name)
			entries = entries[:min(len(entries), *limit)]
			if options.output == outputJSON {
				return writeJSON(c.stdout, entries)
			}
			return writeHistoryTable(c.stdout, entries)
		})
}
