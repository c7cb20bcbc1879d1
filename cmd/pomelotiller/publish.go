package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"pomelotiller/internal/daemon/informer"
)

// statusPollInterval is the time between two queries for the daemons that lag behind a generation.
const statusPollInterval = 50 * time.Millisecond

// publishCommand returns the subcommand that publishes a configuration.
func publishCommand() *cobra.Command {
	var f operatorFlags
	var generation string
	var wait time.Duration
	cmd := &cobra.Command{
		Use:   "publish FILE",
		Short: "Check a configuration and publish it in place of the one in force",
		Long: `Check a configuration and publish it. Without --generation it replaces the one
in force at the daemon; with it, the publish is refused if another operator has
published since that generation, and the difference is shown.

With --wait it returns once all daemons have the configuration in force, and
fails, naming those that have not, if that takes longer.`,
		Example: "  pomelotiller publish -a 10.0.0.1:8081 --generation 41 granite.yaml",
		Args:    cobra.ExactArgs(1),
		RunE: runFunc(func(ctx context.Context, cmd *cobra.Command, args []string) error {
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
				return addDifference(err, text)
			}
			var p informer.PublishResult
			if err := json.Unmarshal(a.body, &p); err != nil {
				return err
			}
			if err := f.awaitInForce(ctx, p.Generation, wait); err != nil {
				return err
			}
			return f.printResult(cmd.OutOrStdout(), p, "GENERATION", formatRow("%d\n", p.Generation))
		}).run,
	}
	f.register(cmd)
	cmd.Flags().StringVar(&generation, "generation", "", "the generation that this configuration was made from")
	cmd.Flags().DurationVar(&wait, "wait", 0, "how long to wait until all daemons have it in force")
	return cmd
}

// awaitInForce waits until all daemons have a generation in force, and fails after wait.
// It returns at once if wait is 0.
func (f *operatorFlags) awaitInForce(ctx context.Context, generation uint64, wait time.Duration) error {
	for end := time.Now().Add(wait); wait > 0; time.Sleep(statusPollInterval) {
		s, err := getJSON[informer.ConfigStatus](ctx, f, "/config/status")
		if err != nil {
			return fmt.Errorf("generation %d is published; %w", generation, err)
		}
		if s.Generation >= generation && len(s.Lagging) == 0 {
			return nil
		}
		if time.Now().After(end) || ctx.Err() != nil {
			return fmt.Errorf("generation %d is published, and not in force after %s at %s", generation, wait, laggingNames(s))
		}
	}
	return nil
}

func laggingNames(s informer.ConfigStatus) string {
	if len(s.Lagging) == 0 {
		return "any daemon"
	}
	names := make([]string, len(s.Lagging))
	for i, m := range s.Lagging {
		names[i] = m.Name
	}
	return strings.Join(names, ", ")
}

// addDifference adds to the error of a conflicting publish the lines in which text differs from
// the configuration in force.
func addDifference(err error, text []byte) error {
	var r *refusedError
	if errors.As(err, &r) && r.status == http.StatusPreconditionFailed {
		return fmt.Errorf("%w\n%s", err, lineDifference(r.answer.Text, string(text)))
	}
	return err
}
