package main

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

var update = flag.Bool("update", false, "write the expected outputs anew")

// TestCases runs the commands of each folder of testdata/cases: "cmd" holds the arguments of one
// command per line, "expected" their output and exit codes.
func TestCases(t *testing.T) {
	dirs, err := filepath.Glob("testdata/cases/*")
	if err != nil || len(dirs) == 0 {
		t.Fatalf("got %d cases (%v), want some", len(dirs), err)
	}
	for _, dir := range dirs {
		t.Run(filepath.Base(dir), func(t *testing.T) {
			t.Chdir(dir)
			cmds, err := os.ReadFile("cmd")
			if err != nil {
				t.Fatal(err)
			}
			var got bytes.Buffer
			for line := range strings.Lines(string(cmds)) {
				code := runCommandLine(strings.Fields(line), &got, &got)
				fmt.Fprintf(&got, "exit %d\n", code)
			}
			if *update {
				if err := os.WriteFile("expected", got.Bytes(), 0o644); err != nil {
					t.Fatal(err)
				}
			}
			want, err := os.ReadFile("expected")
			if err != nil {
				t.Fatal(err)
			}
			if !bytes.Equal(got.Bytes(), want) {
				t.Errorf("got:\n%s\nwant:\n%s", got.Bytes(), want)
			}
		})
	}
}
