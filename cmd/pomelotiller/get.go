package main

import (
	"context"
	"net/http"

	"github.com/spf13/cobra"
)

// configuration is the JSON form of the output of the get subcommand.
type configuration struct {
	Generation string `json:"generation"`
	Text       string `json:"text"`
}

// getCommand returns the subcommand that reads the configuration in force.
func getCommand() *cobra.Command {
	var f operatorFlags
	cmd := &cobra.Command{
		Use:     "get",
		Short:   "Print the configuration in force at a daemon",
		Example: "  pomelotiller get -a 10.0.0.1:8081 > granite.yaml",
		Args:    cobra.NoArgs,
		RunE: runFunc(func(ctx context.Context, cmd *cobra.Command, _ []string) error {
			a, err := f.call(ctx, http.MethodGet, "/config", nil, "")
			if err != nil {
				return err
			}
			c := configuration{Generation: a.etag, Text: string(a.body)}
			return f.printText(cmd.OutOrStdout(), c, c.Text)
		}).run,
	}
	f.register(cmd)
	return cmd
}
