package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"

	"github.com/spf13/cobra"

	"pomelotiller/internal/daemon/informer"
)

// publishVerb returns the verb that publishes a configuration.
func publishVerb() *cobra.Command {
	var f operatorFlags
	var generation string
	cmd := &cobra.Command{
		Use:   "publish FILE",
		Short: "Check a configuration and publish it in place of the one in force",
		Long: `Check a configuration and publish it. Without --generation it replaces the one
in force at the daemon; with it, the publish is refused if another operator has
published since that generation, and the difference is shown.`,
		Example: "  pomelotiller publish -a 10.0.0.1:8081 --generation 41 granite.yaml",
		Args:    cobra.ExactArgs(1),
		RunE: verb(func(ctx context.Context, cmd *cobra.Command, args []string) error {
			text, err := os.ReadFile(args[0])
			if err != nil {
				return err
			}
			if generation == "" {
				current, err := f.call(ctx, http.MethodGet, "/config", nil, "")
				if err != nil {
					return err
				}
				generation = current.etag
			}
			a, err := f.call(ctx, http.MethodPut, "/config", text, generation)
			if err != nil {
				return withDifference(err, text)
			}
			var p informer.Published
			if err := json.Unmarshal(a.body, &p); err != nil {
				return err
			}
			return f.print(cmd.OutOrStdout(), p, "GENERATION", rowOf("%d\n", p.Generation))
		}).run,
	}
	f.register(cmd)
	cmd.Flags().StringVar(&generation, "generation", "", "the generation that this configuration was made from")
	return cmd
}

// withDifference adds to a conflict how the two configurations differ.
func withDifference(err error, text []byte) error {
	var r *refusedError
	if errors.As(err, &r) && r.status == http.StatusPreconditionFailed {
		return fmt.Errorf("%w\n%s", err, lineDifference(r.answer.Text, string(text)))
	}
	return err
}
