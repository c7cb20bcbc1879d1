package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"

	"github.com/spf13/cobra"

	"pomelotiller/internal/daemon/informer"
)

// evacuateCommand returns the subcommand that requests and withdraws the evacuation of a failure domain.
func evacuateCommand() *cobra.Command {
	var f operatorFlags
	var isWithdrawn bool
	cmd := &cobra.Command{
		Use:   "evacuate DOMAIN",
		Short: "Send nothing more to a failure domain, or withdraw that",
		Long: `Request that no daemon send anything more to the endpoints of a failure domain,
until the request is withdrawn with --withdraw. What runs there ends by itself.
The request is kept in the platform's store. Asking twice changes nothing.`,
		Example: "  pomelotiller evacuate -a 10.0.0.1:8081 portland\n  pomelotiller evacuate -a 10.0.0.1:8081 portland --withdraw",
		Args:    cobra.ExactArgs(1),
	}
	cmd.RunE = runFunc(func(ctx context.Context, cmd *cobra.Command, args []string) error {
		return f.evacuate(ctx, cmd, args[0], isWithdrawn)
	}).run
	cmd.Flags().BoolVar(&isWithdrawn, "withdraw", false, "withdraw the request")
	f.register(cmd)
	return cmd
}

// evacuate requests the evacuation of a domain, or withdraws the request, and prints the result.
func (f *operatorFlags) evacuate(ctx context.Context, cmd *cobra.Command, domain string, isWithdrawn bool) error {
	method, result := http.MethodPut, "requested"
	if isWithdrawn {
		method, result = http.MethodDelete, "withdrawn"
	}
	a, err := f.call(ctx, method, "/evacuations/"+url.PathEscape(domain), nil, "")
	if err != nil {
		return err
	}
	var s informer.EvacuationStatus
	if err := json.Unmarshal(a.body, &s); err != nil {
		return fmt.Errorf("daemon %s: decode answer: %w", f.address, err)
	}
	return f.printText(cmd.OutOrStdout(), s, fmt.Sprintf("evacuation of %s is %s, generation %d\n", domain, result, s.Generation))
}
