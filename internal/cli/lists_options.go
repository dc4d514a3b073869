package cli

import (
	"errors"
	"flag"
	"io"
	"os"
	"time"

	"github.com/google/uuid"
	"github.com/peterbourgon/ff/v3"
	"github.com/rotisserie/eris"
)

// Settings of the operators' commands.
const (
	envPrefix       = "CYCLAMENPIN"
	defaultAdminURL = "http://127.0.0.1:6434"
	defaultTimeout  = 30 * time.Second
	pollInterval    = time.Second
)

// Output formats.
const (
	outputTable = "table"
	outputJSON  = "json"
)

// UsageError is an invalid command line. Its exit code is ExitUsage.
type UsageError struct {
	Message string
}

// Error returns the message.
func (e *UsageError) Error() string {
	return e.Message
}

// ExitCode returns the exit code of an error that a command's Exec returned.
func ExitCode(err error) int {
	var usage *UsageError
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &usage), errors.Is(err, flag.ErrHelp):
		return ExitUsage
	default:
		return ExitFailed
	}
}

// listOptions are the flags that all commands of the lists share.
type listOptions struct {
	admin   string
	token   string
	output  string
	timeout time.Duration
	// environmentToken is the token from the environment. It is kept apart
	// from token, because the help text would print it as the flag's default.
	environmentToken string
	// environmentErr is the error of reading the environment.
	environmentErr error
}

// editOptions are the flags that the commands edit and apply share.
type editOptions struct {
	wait    bool
	editID  string
	base    uint64
	rebase  bool
	restore bool
	// retry is set if the edit id was given on the command line, so that the
	// edit may have been accepted before.
	retry bool
}

// readEnvironment reads CYCLAMENPIN_ADMIN, CYCLAMENPIN_ADMIN_TOKEN,
// CYCLAMENPIN_OUTPUT and CYCLAMENPIN_TIMEOUT. Other flags are not read from the
// environment, so that a variable left over in a shell cannot change what an
// edit does.
func (o *listOptions) readEnvironment() {
	environment := flag.NewFlagSet("environment", flag.ContinueOnError)
	environment.SetOutput(io.Discard)
	environment.StringVar(&o.admin, "admin", defaultAdminURL, "")
	environment.StringVar(&o.environmentToken, "admin-token", "", "")
	environment.StringVar(&o.output, "output", outputTable, "")
	environment.DurationVar(&o.timeout, "timeout", defaultTimeout, "")
	if err := ff.Parse(environment, nil, ff.WithEnvVarPrefix(envPrefix)); err != nil {
		o.environmentErr = &UsageError{Message: err.Error()}
	}
}

func newFlagSet(name string, stderr io.Writer, options *listOptions) *flag.FlagSet {
	options.readEnvironment()
	flags := flag.NewFlagSet(name, flag.ContinueOnError)
	flags.SetOutput(stderr)
	flags.StringVar(&options.admin, "admin", options.admin, "URL of an instance's admin server")
	flags.StringVar(&options.token, "admin-token", "", "bearer token of the admin server (environment: CYCLAMENPIN_ADMIN_TOKEN)")
	flags.StringVar(&options.output, "output", options.output, "form of the output: table or json")
	flags.DurationVar(&options.timeout, "timeout", options.timeout, "longest time for each request, and for --wait")
	return flags
}

func (o *editOptions) register(flags *flag.FlagSet) {
	flags.BoolVar(&o.wait, "wait", false, "wait until the edit is in force on all instances")
	flags.StringVar(&o.editID, "edit-id", "", "id of an earlier attempt whose answer was lost; a new one where empty")
	flags.Uint64Var(&o.base, "base", 0, "revision that the edit is based on; the current one where zero")
	flags.BoolVar(&o.rebase, "rebase", false, "accept the edit on a later revision where other entries changed")
	flags.BoolVar(&o.restore, "restore", false, "start from the lists in force where the platform holds older ones")
}

func (o *listOptions) complete() error {
	if o.environmentErr != nil {
		return o.environmentErr
	}
	if o.token == "" {
		o.token = o.environmentToken
	}
	if o.output != outputTable && o.output != outputJSON {
		return &UsageError{Message: "--output must be table or json"}
	}
	return nil
}

func (o *editOptions) complete() {
	o.retry = o.editID != ""
	if !o.retry {
		o.editID = uuid.NewString()
	}
}

// parseArgument takes one leading argument and parses the flags after it.
func parseArgument(flags *flag.FlagSet, arguments []string, name string) (string, error) {
	if len(arguments) == 0 {
		return "", &UsageError{Message: "want " + name}
	}
	if err := flags.Parse(arguments[1:]); err != nil {
		return "", &UsageError{Message: err.Error()}
	}
	if flags.NArg() > 0 {
		return "", &UsageError{Message: "unexpected argument " + flags.Arg(0)}
	}
	return arguments[0], nil
}

func rejectArguments(arguments []string) error {
	if len(arguments) > 0 {
		return &UsageError{Message: "unexpected argument " + arguments[0]}
	}
	return nil
}

// readSecret reads a password file, without the line end that editors add.
func readSecret(path string) (string, error) {
	content, err := os.ReadFile(path) // #nosec G304 -- the operator names the file
	if err != nil {
		return "", eris.Wrap(err, "read the password")
	}
	return trimLineEnd(string(content)), nil
}
