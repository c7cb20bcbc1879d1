package main

import (
	"context"
	"errors"

	"github.com/spf13/cobra"
)

// loadVerb returns the verb that puts a measured load on daemons.
func loadVerb() *cobra.Command {
	var scenario string
	cmd := &cobra.Command{
		Use:     "load -f scenario.yaml",
		Short:   "Put an open-loop load on daemons and report what came of it",
		Example: "  pomelotiller load -f scenario.yaml",
		Args:    cobra.NoArgs,
		RunE: verb(func(context.Context, *cobra.Command, []string) error {
			return errors.New("not built yet")
		}).run,
	}
	cmd.Flags().StringVarP(&scenario, "file", "f", "", "the scenario")
	return cmd
}
