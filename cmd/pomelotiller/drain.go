package main

import (
	"context"
	"fmt"
	"net/http"

	"github.com/spf13/cobra"
)

// drainCommand returns the subcommand that makes a daemon drain and stop.
func drainCommand() *cobra.Command {
	var f operatorFlags
	cmd := &cobra.Command{
		Use:     "drain",
		Short:   "Make a daemon finish its requests and stop",
		Example: "  pomelotiller drain -a 10.0.0.1:8081",
		Args:    cobra.NoArgs,
		RunE: runFunc(func(ctx context.Context, cmd *cobra.Command, _ []string) error {
			if _, err := f.call(ctx, http.MethodPost, "/drain", nil, ""); err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "daemon %s is draining\n", f.address)
			return nil
		}).run,
	}
	f.register(cmd)
	return cmd
}
