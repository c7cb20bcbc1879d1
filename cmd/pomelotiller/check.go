package main

import (
	"context"
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"pomelotiller/internal/config/checker"
)

// checkCommand returns the subcommand that checks a configuration without a daemon.
func checkCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "check FILE",
		Short:   "Check a configuration without publishing it",
		Example: "  pomelotiller check examples/granite.yaml",
		Args:    cobra.ExactArgs(1),
		RunE: runFunc(func(_ context.Context, cmd *cobra.Command, args []string) error {
			text, err := os.ReadFile(args[0])
			if err != nil {
				return err
			}
			set, err := checker.Check(text)
			if err != nil {
				return fmt.Errorf("%s: %w", args[0], err)
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%s: %d organisations, %d pools, %d versions, %d routes, %d moves: in order\n", args[0],
				len(set.Organisations), len(set.Pools), len(set.Versions), len(set.Routes), len(set.Moves))
			return nil
		}).run,
	}
}
