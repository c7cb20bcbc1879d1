package main

import (
	"context"
	"fmt"
	"runtime/debug"

	"github.com/spf13/cobra"
)

// versionCommand returns the subcommand that prints the program's version.
func versionCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "version",
		Short:   "Print the version of this program",
		Example: "  pomelotiller version",
		Args:    cobra.NoArgs,
		RunE: runFunc(func(_ context.Context, cmd *cobra.Command, _ []string) error {
			fmt.Fprintln(cmd.OutOrStdout(), "pomelotiller "+buildVersion())
			return nil
		}).run,
	}
}

func buildVersion() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			return s.Value
		}
	}
	return info.Main.Version
}
