package main

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/schollz/progressbar/v3"
	"github.com/spf13/cobra"
	"golang.org/x/term"

	"pomelotiller/internal/measure/driver"
	"pomelotiller/internal/measure/planner"
)

// loadFlags holds the flags of the load subcommand.
type loadFlags struct {
	scenario string
	output   string
	plot     string
	seed     uint64
}

// loadCommand returns the subcommand that sends an open-loop load to daemons and reports the results.
func loadCommand() *cobra.Command {
	var f loadFlags
	cmd := &cobra.Command{
		Use:     "load -f scenario.yaml",
		Short:   "Put an open-loop load on daemons and report what came of it",
		Example: "  pomelotiller load -f examples/load/granite.yaml --plot first.png",
		Args:    cobra.NoArgs,
	}
	cmd.RunE = runFunc(func(ctx context.Context, cmd *cobra.Command, _ []string) error { return f.run(ctx, cmd) }).run
	cmd.Flags().StringVarP(&f.scenario, "file", "f", "", "the scenario")
	cmd.Flags().StringVarP(&f.output, "output", "o", "text", "form of the report: text or json")
	cmd.Flags().StringVar(&f.plot, "plot", "", "file for a plot of the times to the first token, .png or .svg")
	cmd.Flags().Uint64Var(&f.seed, "seed", 0, "seed in place of the scenario's")
	if err := cmd.MarkFlagRequired("file"); err != nil {
		panic(err)
	}
	return cmd
}

func (f *loadFlags) run(ctx context.Context, cmd *cobra.Command) error {
	if f.output != "text" && f.output != "json" {
		return fmt.Errorf("output %q is not one of text, json", f.output)
	}
	s, err := planner.ReadScenario(f.scenario)
	if err != nil {
		return err
	}
	if cmd.Flags().Changed("seed") {
		s.Seed = f.seed
	}
	r, err := driver.New(driver.Config{Scenario: s, Progress: newProgressBar(cmd.ErrOrStderr())}).Run(ctx)
	if err != nil {
		return err
	}
	if f.plot != "" {
		if err := r.Plot(f.plot); err != nil {
			return err
		}
	}
	if f.output == "json" {
		return r.WriteJSON(cmd.OutOrStdout())
	}
	return r.WriteText(cmd.OutOrStdout())
}

// newProgressBar returns a function that draws a progress bar on w, or nil if w is not a terminal.
func newProgressBar(w io.Writer) func(done, all int) {
	file, ok := w.(*os.File)
	if !ok || !term.IsTerminal(int(file.Fd())) {
		return nil
	}
	var bar *progressbar.ProgressBar
	return func(done, all int) {
		if bar == nil {
			bar = progressbar.NewOptions(all, progressbar.OptionSetWriter(w), progressbar.OptionSetDescription("requests"),
				progressbar.OptionShowCount(), progressbar.OptionClearOnFinish())
		}
		// The load goes on if the bar cannot be drawn.
		_ = bar.Set(done)
	}
}
