package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func TestWriteTable(t *testing.T) {
	cfg := config{sites: []string{"sites/a.toml"}, off: []string{"home"}}
	runs := []benchRun{
		{site: "sites/a.toml", day: "x", result: result{Worth: 0.6}},
		{site: "sites/a.toml", day: "y", result: result{Worth: 0.5}},
		{off: "home", site: "sites/a.toml", day: "x", result: result{Worth: 0.5}},
		{off: "home", site: "sites/a.toml", day: "y", result: result{Worth: 0.5, Broken: map[string]any{"QUOTA": 1}}},
	}
	var got strings.Builder
	writeTable(&got, cfg, runs)
	want := `| without | a | difference | broken |
|---|---|---|---|
| none | 0.550 | +0.000 ± 0.000 | 0 |
| home | 0.500 | -0.050 ± 0.050 | 1 |
`
	if got.String() != want {
		t.Errorf("got\n%s\nwant\n%s", got.String(), want)
	}
}

func TestReadResult(t *testing.T) {
	dir := t.TempDir()
	if err := os.Mkdir(filepath.Join(dir, "journal"), 0o700); err != nil {
		t.Fatal(err)
	}
	text := `{"days":[{"G":0.5,"served":0.9,"rules":{"DRAIN":2}}]}`
	if err := os.WriteFile(filepath.Join(dir, "journal", "20260101T000000-abc.json"), []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	got, err := readResult(dir, parseSnapshotID("played\nsnapshot abc\n"))
	if err != nil || got.Worth != 0.5 || got.Served != 0.9 || len(got.Broken) != 1 {
		t.Errorf("got %+v (%v), want worth 0.5, served 0.9 and one rule broken", got, err)
	}
}
