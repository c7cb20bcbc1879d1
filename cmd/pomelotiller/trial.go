package main

import (
	"context"

	"github.com/spf13/cobra"

	"pomelotiller/internal/daemon/demonstrator"
)

// trialCommand returns the subcommand that runs a demonstration of the system in one process.
func trialCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "trial",
		Short: "Run the system with stand-ins in one process and show what it does",
		Long: `Run three daemons with stand-ins of the platform, of engines and of a service
in one process. Shows a streamed chat and one order that is posted twice and
runs once, then stops everything.`,
		Example: "  pomelotiller trial",
		Args:    cobra.NoArgs,
		RunE: runFunc(func(ctx context.Context, cmd *cobra.Command, _ []string) error {
			return demonstrator.Run(ctx, demonstrator.Config{Out: cmd.OutOrStdout(), Log: cmd.ErrOrStderr()})
		}).run,
	}
}
