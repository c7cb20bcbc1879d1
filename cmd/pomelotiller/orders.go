package main

import (
	"context"

	"github.com/spf13/cobra"

	"pomelotiller/internal/traffic/recorder"
)

// ordersCommand returns the subcommand that shows the state of an order.
func ordersCommand() *cobra.Command {
	var f operatorFlags
	cmd := &cobra.Command{
		Use:     "orders ID",
		Short:   "Show how far an order has come",
		Example: "  pomelotiller orders -a 10.0.0.1:8081 5f3c9a0e5d0b4f0b8d1f2a7c6e9b3d10",
		Args:    cobra.ExactArgs(1),
		RunE: runFunc(func(ctx context.Context, cmd *cobra.Command, args []string) error {
			o, err := getJSON[recorder.Order](ctx, &f, "/orders/"+args[0])
			if err != nil {
				return err
			}
			return f.printResult(cmd.OutOrStdout(), o, "ID\tROUTE\tSTATE\tRUN\tENDPOINT\tREASON",
				formatRow("%s\t%s\t%s\t%s\t%s\t%s\n", o.ID, o.Route, o.State, o.RunState(), o.Endpoint, o.Reason))
		}).run,
	}
	f.register(cmd)
	return cmd
}
