package cli

import (
	"io"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestSubcommandsHaveUniqueNamesAndHelp(t *testing.T) {
	seen := map[string]bool{}
	for _, subcommand := range rootCommand(io.Discard, io.Discard).Subcommands {
		require.False(t, seen[subcommand.Name], "%s is there twice", subcommand.Name)
		seen[subcommand.Name] = true
		require.NotEmpty(t, subcommand.ShortHelp, subcommand.Name)
	}
}

func TestExitCodesDistinguishUsageErrors(t *testing.T) {
	for arguments, code := range map[string]int{
		"": ExitUsage, "nonsense": ExitUsage, "proxy": ExitUsage, "version": ExitOK,
	} {
		var list []string
		if arguments != "" {
			list = []string{arguments}
		}
		require.Equal(t, code, Run(list, io.Discard, io.Discard), "cyclamenpin %s", arguments)
	}
}
