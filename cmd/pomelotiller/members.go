package main

import (
	"context"
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"pomelotiller/internal/fleet/viewer"
)

// membersCommand returns the subcommand that lists the daemons that one daemon knows.
func membersCommand() *cobra.Command {
	var f operatorFlags
	cmd := &cobra.Command{
		Use:     "members",
		Short:   "List the daemons, with the configuration in force at each",
		Example: "  pomelotiller members -a 10.0.0.1:8081 -o json",
		Args:    cobra.NoArgs,
		RunE: runFunc(func(ctx context.Context, cmd *cobra.Command, _ []string) error {
			members, err := getJSON[[]viewer.Member](ctx, &f, "/members")
			if err != nil {
				return err
			}
			return f.printResult(cmd.OutOrStdout(), members, "NAME\tDOMAIN\tSTATE\tGENERATION\tEVACUATIONS\tOPERATORS", func(w io.Writer) {
				for _, m := range members {
					fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%s\n", m.Name, m.Domain, m.State, m.Generation, m.Evacuations, m.Operators)
				}
			})
		}).run,
	}
	f.register(cmd)
	return cmd
}

// formatRow returns a function that formats one row of a table and writes it.
func formatRow(format string, args ...any) func(io.Writer) {
	return func(w io.Writer) { fmt.Fprintf(w, format, args...) }
}
