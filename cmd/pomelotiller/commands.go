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

// subcommands holds the constructors of all subcommands.
var subcommands = []func() *cobra.Command{
	serveCommand,
	checkCommand,
	publishCommand,
	getCommand,
	diffCommand,
	movesCommand,
	membersCommand,
	ordersCommand,
	drainCommand,
	evacuateCommand,
	loadCommand,
	trialCommand,
	versionCommand,
}

// commandError wraps an error that a subcommand returned while it ran, to tell it from a usage error.
type commandError struct{ err error }

func (f *commandError) Error() string { return f.err.Error() }
func (f *commandError) Unwrap() error { return f.err }

// runFunc carries out a subcommand. If it returns an error, the program exits with exitFailed.
type runFunc func(ctx context.Context, cmd *cobra.Command, args []string) error

// run calls fn as a RunE function of cobra and wraps its error in a commandError.
func (fn runFunc) run(cmd *cobra.Command, args []string) error {
	if err := fn(cmd.Context(), cmd, args); err != nil {
		return &commandError{err}
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
	for _, v := range subcommands {
		root.AddCommand(v())
	}
	return root
}

// runCommandLine runs the program and returns its exit code. The first SIGINT or SIGTERM
// starts a graceful stop, the second ends the process at once.
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
	var f *commandError
	if errors.As(err, &f) {
		return exitFailed
	}
	fmt.Fprintf(errOut, "Run '%s --help' for usage.\n", cmd.CommandPath())
	return exitUsage
}
