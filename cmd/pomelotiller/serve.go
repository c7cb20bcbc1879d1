package main

import (
	"context"

	"github.com/spf13/cobra"

	"pomelotiller/internal/config/loader"
	"pomelotiller/internal/daemon/assembler"
)

// serveVerb returns the verb that runs a daemon.
func serveVerb() *cobra.Command {
	var settings string
	cmd := &cobra.Command{
		Use:   "serve -c settings.yaml",
		Short: "Run a daemon until it is told to stop",
		Long: `Run a daemon until SIGTERM, SIGINT or 'pomelotiller drain'. It then finishes
the requests in flight and exits with 0.

docs/SETTINGS.md names every setting.`,
		Example: "  pomelotiller serve -c settings.yaml",
		Args:    cobra.NoArgs,
		RunE: verb(func(ctx context.Context, cmd *cobra.Command, _ []string) error {
			s, err := loader.ReadSettings(settings)
			if err != nil {
				return err
			}
			d, err := assembler.New(context.WithoutCancel(ctx), assembler.Config{Settings: s, Out: cmd.ErrOrStderr()})
			if err != nil {
				return err
			}
			return d.Run(ctx)
		}).run,
	}
	cmd.Flags().StringVarP(&settings, "config", "c", "settings.yaml", "the daemon's settings")
	return cmd
}
