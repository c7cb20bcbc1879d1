// Command ablate measures the effect of each policy. It runs days (test scenarios) of a bench
// with all policies on and with one policy off at a time, each in its own clone of the
// repository, and prints a table of the mean scores.
package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"
)

func main() {
	if err := newCommand().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "ablate:", err)
		os.Exit(1)
	}
}

func newCommand() *cobra.Command {
	var cfg config
	cmd := &cobra.Command{
		Use:   "ablate --bench FILE --site FILE --day NAME [--off WORD,...]",
		Short: "Measure what each policy is worth",
		Example: `  ablate --bench bin/bench --site sites/a.toml --day scale-1,trouble-1 --off home,near
  ablate --bench bin/bench --site sites/a.toml --day scale-1 --seed 7,8 --work /tmp/plays`,
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			runs, err := runAll(cmd.Context(), cfg)
			if err != nil {
				return err
			}
			writeTable(cmd.OutOrStdout(), cfg, runs)
			return nil
		},
	}
	f := cmd.Flags()
	f.StringVar(&cfg.bench, "bench", "", "the bench's program")
	f.StringSliceVar(&cfg.sites, "site", nil, "site files")
	f.StringSliceVar(&cfg.days, "day", nil, "names of days")
	f.StringSliceVar(&cfg.seeds, "seed", []string{""}, "seeds; empty is the day's own")
	f.StringSliceVar(&cfg.off, "off", nil, "policies to switch off one by one")
	f.StringVar(&cfg.repository, "repository", ".", "the repository to clone")
	f.StringVar(&cfg.workDir, "work", "", "folder for the clones, which is kept for their journals")
	f.IntVar(&cfg.parallelRuns, "jobs", 2, "plays at a time")
	for _, name := range []string{"bench", "site", "day", "work"} {
		// This fails only for a flag that is not defined.
		_ = cmd.MarkFlagRequired(name)
	}
	return cmd
}
