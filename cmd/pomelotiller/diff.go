package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"

	"github.com/spf13/cobra"
)

// diffCommand returns the subcommand that compares a file with the configuration in force.
func diffCommand() *cobra.Command {
	var f operatorFlags
	cmd := &cobra.Command{
		Use:     "diff FILE",
		Short:   "Show what publishing a file would change",
		Example: "  pomelotiller diff -a 10.0.0.1:8081 granite.yaml",
		Args:    cobra.ExactArgs(1),
		RunE: runFunc(func(ctx context.Context, cmd *cobra.Command, args []string) error {
			text, err := os.ReadFile(args[0])
			if err != nil {
				return err
			}
			a, err := f.call(ctx, http.MethodGet, "/config", nil, "")
			if err != nil {
				return err
			}
			_, err = io.WriteString(cmd.OutOrStdout(), lineDifference(string(a.body), string(text)))
			return err
		}).run,
	}
	f.register(cmd)
	return cmd
}

// lineDifference compares two texts by a longest common subsequence of their lines. It returns
// each removed line with a "-" and each added line with a "+" and its line number.
func lineDifference(old, changed string) string {
	a, b := splitLines(old), splitLines(changed)
	common := make([][]int, len(a)+1)
	for i := range common {
		common[i] = make([]int, len(b)+1)
	}
	for i := len(a) - 1; i >= 0; i-- {
		for j := len(b) - 1; j >= 0; j-- {
			common[i][j] = max(common[i+1][j], common[i][j+1])
			if a[i] == b[j] {
				common[i][j] = common[i+1][j+1] + 1
			}
		}
	}
	var out strings.Builder
	i, j := 0, 0
	for i < len(a) || j < len(b) {
		switch {
		case i < len(a) && j < len(b) && a[i] == b[j]:
			i, j = i+1, j+1
		case j == len(b) || i < len(a) && common[i+1][j] >= common[i][j+1]:
			fmt.Fprintf(&out, "-%d: %s\n", i+1, a[i])
			i++
		default:
			fmt.Fprintf(&out, "+%d: %s\n", j+1, b[j])
			j++
		}
	}
	return out.String()
}

func splitLines(s string) []string {
	if s = strings.TrimRight(s, "\n"); s == "" {
		return nil
	}
	return strings.Split(s, "\n")
}
