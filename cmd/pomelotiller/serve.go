package main

import (
	"cmp"
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"pomelotiller/internal/config/loader"
	"pomelotiller/internal/daemon/assembler"
	"pomelotiller/internal/daemon/composer"
	"pomelotiller/platform"
)

// settingsVariable names the environment variable with the path of the settings.
const settingsVariable = "POMELOTILLER_CONFIG"

// serveCommand returns the subcommand that runs a daemon.
func serveCommand() *cobra.Command {
	var settings string
	cmd := &cobra.Command{
		Use:   "serve -c settings.yaml",
		Short: "Run a daemon until it is told to stop",
		Long: `Run a daemon until SIGTERM, SIGINT or 'pomelotiller drain'. It then finishes
the requests in flight and exits with 0.

docs/SETTINGS.md names every setting.`,
		Example: "  pomelotiller serve -c settings.yaml",
		Args:    cobra.NoArgs,
		RunE: runFunc(func(ctx context.Context, cmd *cobra.Command, _ []string) error {
			// Without a handler, a SIGHUP that arrives before the daemon is built would end the process.
			hangups := make(chan os.Signal, 1)
			signal.Notify(hangups, syscall.SIGHUP)
			defer signal.Stop(hangups)
			s, err := loader.ReadSettings(settings)
			if err != nil {
				return err
			}
			if s.Edge != nil {
				d, err := composer.New(context.WithoutCancel(ctx), composer.Config{
					Settings: s, Adapter: platform.NewAdapter(s), SettingsPath: settings, ReloadSignals: hangups, Out: cmd.OutOrStdout(),
				})
				if err != nil {
					return err
				}
				return d.Run(ctx)
			}
			d, err := assembler.New(context.WithoutCancel(ctx), assembler.Config{Settings: s, Out: cmd.ErrOrStderr()})
			if err != nil {
				return err
			}
			return d.Run(ctx)
		}).run,
	}
	cmd.Flags().StringVarP(&settings, "config", "c", cmp.Or(os.Getenv(settingsVariable), "settings.yaml"), "the daemon's settings")
	return cmd
}
