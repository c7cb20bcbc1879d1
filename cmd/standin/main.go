// Command standin runs one stand-in of an outside system for tests: the platform, a model
// engine or a plain service, or a fault-injecting proxy.
package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/spf13/cobra"

	"pomelotiller/internal/standin/faulter"
	"pomelotiller/internal/standin/generator"
	"pomelotiller/internal/standin/keeper"
	"pomelotiller/internal/standin/servicer"
)

// headerTimeout limits the time in which a client sends the header of a request.
const headerTimeout = 10 * time.Second

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	root := &cobra.Command{Use: "standin", Short: "Run a stand-in of an outside system", SilenceUsage: true}
	root.AddCommand(platformCommand(), engineCommand(), serviceCommand(), faultproxyCommand())
	if err := root.ExecuteContext(ctx); err != nil {
		os.Exit(1)
	}
}

func platformCommand() *cobra.Command {
	return withServer(&cobra.Command{Use: "platform", Short: "Key-value service, host list, cloud and weight store"},
		func() http.Handler { return keeper.New().Handler() })
}

func engineCommand() *cobra.Command {
	var cfg generator.Config
	var file string
	cmd := &cobra.Command{Use: "engine", Short: "Model engine", Example: "  standin engine -c examples/load/engine.yaml"}
	cmd.Flags().StringVarP(&file, "config", "c", "", "parameters in YAML; they go before the flags")
	cmd.Flags().StringSliceVar(&cfg.Versions, "versions", nil, "versions loaded at the start")
	cmd.Flags().DurationVar(&cfg.FirstToken, "first", 0, "time to the first token")
	cmd.Flags().DurationVar(&cfg.TokenTime, "token", 0, "time between tokens")
	cmd.Flags().BoolVar(&cfg.Fencing, "fencing", false, "refuse orders with an old fencing number")
	cmd.PreRunE = func(*cobra.Command, []string) error {
		if file == "" {
			return nil
		}
		return readEngineConfig(file, &cfg)
	}
	return withServer(cmd, func() http.Handler { return generator.New(cfg).Handler() })
}

// readEngineConfig reads the parameters of an engine from a YAML file. They override the flags.
func readEngineConfig(path string, cfg *generator.Config) error {
	b, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("engine: %w", err)
	}
	if err := yaml.UnmarshalWithOptions(b, cfg, yaml.Strict()); err != nil {
		return fmt.Errorf("engine %s: %w", path, err)
	}
	return nil
}

func serviceCommand() *cobra.Command {
	var cfg servicer.Config
	cmd := &cobra.Command{Use: "service", Short: "Plain service that counts its runs"}
	cmd.Flags().BoolVar(&cfg.Status, "status", false, "answer status look-ups")
	cmd.Flags().DurationVar(&cfg.Delay, "delay", 0, "time that a run takes")
	return withServer(cmd, func() http.Handler { return servicer.New(cfg).Handler() })
}

func faultproxyCommand() *cobra.Command {
	return withServer(&cobra.Command{Use: "faultproxy", Short: "TCP and UDP proxy with faults by command"},
		func() http.Handler { return faulter.NewPanel(context.Background()).Handler() })
}

// withServer makes cmd listen on --listen, print the address and serve the handler.
func withServer(cmd *cobra.Command, handler func() http.Handler) *cobra.Command {
	listen := cmd.Flags().String("listen", "127.0.0.1:0", "address to listen on")
	cmd.Args = cobra.NoArgs
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		ln, err := (&net.ListenConfig{}).Listen(cmd.Context(), "tcp", *listen)
		if err != nil {
			return err
		}
		fmt.Fprintln(cmd.OutOrStdout(), ln.Addr())
		srv := &http.Server{Handler: handler(), ReadHeaderTimeout: headerTimeout}
		context.AfterFunc(cmd.Context(), func() { srv.Close() })
		if err := srv.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	}
	return cmd
}
