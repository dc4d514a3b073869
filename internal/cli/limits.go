package cli

import (
	"flag"
	"io"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rotisserie/eris"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/configuration"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// LimitsCommand returns the command "limits" with its subcommands. ExitCode
// converts the errors that it returns to exit codes.
func LimitsCommand(stdout, stderr io.Writer) *ffcli.Command {
	commands := listCommands{
		list:   listSpec{name: configuration.ListLimits, show: showLimits, editFlags: limitFlags},
		stdout: stdout, stderr: stderr,
	}
	return commands.root()
}

func showLimits(w io.Writer, current *state.Configuration, plan state.PlanID, output string) (bool, error) {
	shown := current.Limits
	if plan != "" {
		limit, found := current.LimitOf(plan)
		if !found {
			return false, nil
		}
		shown = []state.Limit{limit}
	}
	if output == outputJSON {
		return true, writeJSON(w, limitsFile{Revision: current.Revision, Limits: shown})
	}
	return true, writeLimitsTable(w, shown)
}

// limitFlags registers a flag for each field of a limit and one to remove it.
func limitFlags(flags *flag.FlagSet) makeChange {
	connections := flags.Int("max-connections", 0, "backend connections that the plan may hold on any one backend server")
	staleness := flags.Int64("max-staleness-ms", 0, "age in milliseconds that the plan's reads may have at most")
	databases := flags.String("databases", "", "databases that the plan may reach, separated by commas")
	weight := flags.Int("weight", 0, "share where backend servers are contended, from 1 to 100")
	idle := flags.Int64("idle-in-transaction-ms", 0, "milliseconds after which an idle transaction ends; the default where zero")
	scope := flags.String("session-scope", "", "connection or plan")
	remove := flags.Bool("remove", false, "remove the limit")
	return func(base *state.Configuration, id state.PlanID, _ string, given func(string) bool) (configuration.Change, error) {
		limit, found := base.LimitOf(id)
		if *remove && !found {
			return configuration.Change{}, eris.Errorf("plan %s has no limit", id)
		}
		if *remove {
			return configuration.Change{RemoveLimits: []state.PlanID{id}}, nil
		}
		limit.Plan = id
		setters := map[string]func(){
			"max-connections":        func() { limit.MaxConnections = *connections },
			"max-staleness-ms":       func() { limit.MaxStalenessMillis = *staleness },
			"databases":              func() { limit.Databases = splitGroups(*databases) },
			"weight":                 func() { limit.Weight = *weight },
			"idle-in-transaction-ms": func() { limit.IdleInTransactionMillis = *idle },
			"session-scope":          func() { limit.SessionScope = state.SessionScope(*scope) },
		}
		for name, assign := range setters {
			if given(name) {
				assign()
			}
		}
		return configuration.Change{PutLimits: []state.Limit{limit}}, nil
	}
}

func splitGroups(text string) []state.GroupID {
	groups := make([]state.GroupID, 0)
	for name := range strings.SplitSeq(text, ",") {
		if name != "" {
			groups = append(groups, state.GroupID(name))
		}
	}
	return groups
}
