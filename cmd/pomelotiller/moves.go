package main

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/spf13/cobra"
)

// moveRow describes one move in the answer of a daemon and in the output of the moves subcommand.
type moveRow struct {
	Name   string    `json:"name"`
	Route  string    `json:"route"`
	From   string    `json:"from"`
	To     string    `json:"to"`
	State  string    `json:"state"`
	Share  float64   `json:"share"`
	By     time.Time `json:"by"`
	Reason string    `json:"reason,omitempty"`
}

// movesCommand returns the subcommand that lists moves between versions and their states.
func movesCommand() *cobra.Command {
	var f operatorFlags
	cmd := &cobra.Command{
		Use:     "moves",
		Short:   "List moves between versions, and whether each is done or reverted",
		Example: "  pomelotiller moves -a 10.0.0.1:8081",
		Args:    cobra.NoArgs,
		RunE: runFunc(func(ctx context.Context, cmd *cobra.Command, _ []string) error {
			moves, err := getJSON[[]moveRow](ctx, &f, "/moves")
			if err != nil {
				return err
			}
			return f.printResult(cmd.OutOrStdout(), moves, "NAME\tROUTE\tFROM\tTO\tSTATE\tSHARE\tBY\tREASON", func(w io.Writer) {
				for _, m := range moves {
					fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%g\t%s\t%s\n", m.Name, m.Route, m.From, m.To, m.State, m.Share, m.By.Format(time.RFC3339), m.Reason)
				}
			})
		}).run,
	}
	f.register(cmd)
	return cmd
}
