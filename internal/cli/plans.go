package cli

import (
	"flag"
	"io"
	"slices"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rotisserie/eris"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/configuration"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// PlansCommand returns the command "plans" with its subcommands. ExitCode
// converts the errors that it returns to exit codes.
func PlansCommand(stdout, stderr io.Writer) *ffcli.Command {
	commands := listCommands{
		list:   listSpec{name: configuration.ListPlans, show: showPlans, editFlags: planFlags},
		stdout: stdout, stderr: stderr,
	}
	return commands.root()
}

func showPlans(w io.Writer, current *state.Configuration, plan state.PlanID, output string) (bool, error) {
	shown := make([]state.Plan, 0, len(current.Plans))
	for _, entry := range current.Plans {
		if plan == "" || entry.ID == plan {
			shown = append(shown, entry)
		}
	}
	if plan != "" && len(shown) == 0 {
		return false, nil
	}
	if output == outputJSON {
		return true, writeJSON(w, plansFile{Revision: current.Revision, Plans: shown})
	}
	return true, writePlansTable(w, shown)
}

// planFlags registers a flag for each field of a plan and one to remove it.
func planFlags(flags *flag.FlagSet) makeChange {
	user := flags.String("user", "", "PostgreSQL user name of the plan's callers")
	passwordFile := flags.String("password-file", "", "file that holds the plan's password")
	description := flags.String("description", "", "description for operators")
	remove := flags.Bool("remove", false, "remove the plan and its limit")
	return func(base *state.Configuration, id state.PlanID, editID string, given func(string) bool) (configuration.Change, error) {
		if *remove {
			return removePlan(base, id)
		}
		plan := state.Plan{ID: id, PasswordVerifier: configuration.KeptVerifier}
		for _, entry := range base.Plans {
			if entry.ID == id {
				plan = entry
			}
		}
		if given("user") {
			plan.User = *user
		}
		if given("description") {
			plan.Description = *description
		}
		if given("password-file") {
			password, err := readSecret(*passwordFile)
			if err != nil {
				return configuration.Change{}, err
			}
			if plan.PasswordVerifier, err = configuration.NewVerifier(password, editID, id); err != nil {
				return configuration.Change{}, err
			}
		}
		return configuration.Change{PutPlans: []state.Plan{plan}}, nil
	}
}

// removePlan returns the change that removes a plan and its limit, if any.
func removePlan(base *state.Configuration, id state.PlanID) (configuration.Change, error) {
	isPlan := func(plan state.Plan) bool { return plan.ID == id }
	if !slices.ContainsFunc(base.Plans, isPlan) {
		return configuration.Change{}, eris.Errorf("there is no plan %s", id)
	}
	change := configuration.Change{RemovePlans: []state.PlanID{id}}
	if _, found := base.LimitOf(id); found {
		change.RemoveLimits = []state.PlanID{id}
	}
	return change, nil
}
