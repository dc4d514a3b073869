package cli

import (
	"context"
	"errors"
	"fmt"

	"github.com/rotisserie/eris"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/configuration"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// editResult is the JSON output of an edit.
type editResult struct {
	EditID          string                 `json:"edit_id"`
	Revision        state.Revision         `json:"revision"`
	AlreadyAccepted bool                   `json:"already_accepted"`
	Unchanged       bool                   `json:"unchanged"`
	InForce         *configuration.InForce `json:"in_force,omitempty"`
}

// submit builds a change of the lists that the edit is based on, sends the edit
// and prints the result. If the operator gave the edit id, it first looks up
// whether that edit was accepted before.
func (c listCommands) submit(ctx context.Context, options *listOptions, edits *editOptions,
	change func(base *state.Configuration) (configuration.Change, error),
) error {
	fmt.Fprintf(c.stderr, "edit id: %s\n", edits.editID)
	client := &adminClient{options: options}
	result := editResult{EditID: edits.editID}
	if edits.retry {
		accepted, found, err := client.findEdit(ctx, edits.editID)
		if err != nil {
			return eris.Wrapf(err, "look up edit %s, whose outcome is still unknown", edits.editID)
		}
		if found {
			result.Revision, result.AlreadyAccepted = accepted.Revision, true
			return c.report(ctx, client, edits, result)
		}
	}
	base, err := client.configuration(ctx, state.Revision(edits.base))
	if err != nil {
		return err
	}
	edit := configuration.Edit{
		ID: edits.editID, Base: base.Revision, Rebase: edits.rebase, Restore: edits.restore, Retry: edits.retry,
	}
	requested, err := change(base)
	if err != nil {
		return err
	}
	edit.Change = configuration.Diff(base, requested.Apply(base))
	unchanged, err := isUnchanged(ctx, client, edit)
	if err != nil {
		return err
	}
	if unchanged {
		result.Revision, result.Unchanged = base.Revision, true
		return c.report(ctx, client, edits, result)
	}
	accepted, err := client.edit(ctx, edit)
	if err != nil {
		return describeEditError(edit, err)
	}
	result.Revision, result.AlreadyAccepted = accepted.Revision, accepted.AlreadyAccepted
	return c.report(ctx, client, edits, result)
}

// isUnchanged reports whether the edit would leave the newest lists as they are
// and need not be sent. An empty edit of an older revision is sent, and fails
// with a conflict. A restore is always sent.
func isUnchanged(ctx context.Context, client *adminClient, edit configuration.Edit) (bool, error) {
	if !edit.Change.IsEmpty() || edit.Restore {
		return false, nil
	}
	newest, err := client.configuration(ctx, 0)
	if err != nil {
		return false, err
	}
	return newest.Revision == edit.Base, nil
}

// describeEditError adds a hint on how to find out the result if it is not known
// whether the edit was accepted.
func describeEditError(edit configuration.Edit, err error) error {
	if wasNotApplied(err) {
		return err
	}
	return eris.Wrapf(err, "it is not known whether edit %s was accepted; repeat the command with --edit-id %s", edit.ID, edit.ID)
}

// wasNotApplied reports whether the error means that the edit was not applied.
func wasNotApplied(err error) bool {
	var (
		invalid  *configuration.ValidationError
		conflict *configuration.ConflictError
		behind   *configuration.BehindInForceError
		reused   *configuration.EditReusedError
		refused  *refusedError
		usage    *UsageError
	)
	if failure, ok := state.AsFailure(err); ok {
		return failure.Outcome == state.OutcomeNotRun
	}
	return errors.As(err, &invalid) || errors.As(err, &conflict) || errors.As(err, &behind) ||
		errors.As(err, &reused) || errors.As(err, &refused) || errors.As(err, &usage)
}

// report prints the result of an edit. With --wait, it also waits until the edit
// is in force on all instances, and fails if the timeout passes first.
func (c listCommands) report(ctx context.Context, client *adminClient, edits *editOptions, result editResult) error {
	asJSON := client.options.output == outputJSON
	if !asJSON {
		fmt.Fprintln(c.stdout, describeResult(result))
	}
	var waitErr error
	if edits.wait {
		inForce, err := client.waitInForce(ctx, result.Revision)
		result.InForce = &inForce
		waitErr = waitError(inForce, err)
		if !asJSON {
			fmt.Fprintf(c.stdout, "in force on %d of %d\n", inForce.Confirmed, inForce.Instances)
		}
	}
	if asJSON {
		return errors.Join(writeJSON(c.stdout, result), waitErr)
	}
	return waitErr
}

func describeResult(result editResult) string {
	switch {
	case result.Unchanged:
		return fmt.Sprintf("nothing to change at revision %d", result.Revision)
	case result.AlreadyAccepted:
		return fmt.Sprintf("accepted before as revision %d", result.Revision)
	default:
		return fmt.Sprintf("accepted as revision %d", result.Revision)
	}
}

func waitError(inForce configuration.InForce, err error) error {
	if inForce.Instances > 0 && inForce.Confirmed == inForce.Instances {
		return nil
	}
	if inForce.Instances == 0 && err != nil {
		return eris.Wrap(err, "accepted, but the instances on which it is in force could not be determined")
	}
	return eris.Errorf("accepted, but not in force on all instances before the timeout; behind: %v; unresponsive: %v", inForce.Behind, inForce.Unresponsive)
}
