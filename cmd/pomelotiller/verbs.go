package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
)

// Exit codes of the program.
const (
	exitDone   = 0
	exitFailed = 1
	exitUsage  = 2
)

// verbs is the table of all subcommands, in the order of the help.
var verbs = []func() *cobra.Command{
	serveVerb,
	checkVerb,
	publishVerb,
	getVerb,
	diffVerb,
	movesVerb,
	membersVerb,
	ordersVerb,
	drainVerb,
	loadVerb,
	trialVerb,
	versionVerb,
}

// failure is an error of a verb's own work, as against one of usage.
type failure struct{ err error }

func (f *failure) Error() string { return f.err.Error() }
func (f *failure) Unwrap() error { return f.err }

// verb is the work of a subcommand: its errors end the program with exitFailed.
type verb func(ctx context.Context, cmd *cobra.Command, args []string) error

// run makes a verb fit cobra.
func (v verb) run(cmd *cobra.Command, args []string) error {
	if err := v(cmd.Context(), cmd, args); err != nil {
		return &failure{err}
	}
	return nil
}

func rootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:   "pomelotiller",
		Short: "Serve language-model and plain endpoints on reclaimable hosts",
		Long: `Pomelotiller takes requests for language-model endpoints and plain services,
and answers for their outcome on hosts that may be reclaimed at any time.

Exit codes: 0 done, 1 refused or failed, 2 wrong usage.`,
		SilenceErrors: true,
		SilenceUsage:  true,
	}
	for _, v := range verbs {
		root.AddCommand(v())
	}
	return root
}

// runCommandLine runs the program and returns its exit code. The first signal
// to end starts a planned stop, the second ends the program at once.
func runCommandLine(args []string, out, errOut io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	context.AfterFunc(ctx, stop)
	root := rootCommand()
	root.SetArgs(args)
	root.SetOut(out)
	root.SetErr(errOut)
	cmd, err := root.ExecuteContextC(ctx)
	if err == nil {
		return exitDone
	}
	fmt.Fprintf(errOut, "%s: %v\n", cmd.CommandPath(), err)
	var f *failure
	if errors.As(err, &f) {
		return exitFailed
	}
	fmt.Fprintf(errOut, "Run '%s --help' for usage.\n", cmd.CommandPath())
	return exitUsage
}
