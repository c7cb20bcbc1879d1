package reporter

import (
	"bytes"
	"flag"
	"os"
	"path/filepath"
	"testing"
	"time"

	"pomelotiller/internal/config/loader"
	"pomelotiller/internal/measure/planner"
)

var update = flag.Bool("update", false, "write the golden files")

// sampleReport returns a report on five made-up requests on one site, few enough to compute each line
// of the golden files by hand.
func sampleReport() Report {
	s := planner.Scenario{
		Name: "sample", Seed: 7, Duration: loader.Duration(10 * time.Second), Rate: 1, Price: 36,
		Target:        loader.Target{First: loader.Duration(time.Second), Token: loader.Duration(30 * time.Millisecond)},
		Organisations: []planner.Organisation{{Name: "dispatch", Key: "k", Weight: 1}},
		Kinds:         []planner.Kind{{Name: "sheet", Route: "v", Share: 1, Sites: 1, HistoryTokens: 160, AnswerTokens: 3}},
	}
	gaps := func(ms ...time.Duration) (out []time.Duration) {
		for _, d := range ms {
			out = append(out, d*time.Millisecond)
		}
		return out
	}
	outcomes := []Outcome{
		{Complete: true, TimeToFirstToken: 100 * time.Millisecond, TokenGaps: gaps(20, 30)},
		{Complete: true, TimeToFirstToken: 1100 * time.Millisecond, TokenGaps: gaps(20, 20)},
		{Complete: true, TimeToFirstToken: 200 * time.Millisecond, TokenGaps: gaps(20, 60)},
		{Refusal: "429 over-share not-run"},
		{TimeToFirstToken: 50 * time.Millisecond},
	}
	plan := planner.Plan(s)
	for i := range outcomes {
		outcomes[i].Request = plan[i]
	}
	return New(Config{Scenario: s, ComputedTokens: 300, CachedTokens: 160, DoubledOrders: 1, Elapsed: 10 * time.Second}, outcomes)
}

func TestReportGoldenFiles(t *testing.T) {
	r := sampleReport()
	for name, write := range map[string]func(*bytes.Buffer) error{
		"sample.txt":  func(b *bytes.Buffer) error { return r.WriteText(b) },
		"sample.json": func(b *bytes.Buffer) error { return r.WriteJSON(b) },
	} {
		var got bytes.Buffer
		if err := write(&got); err != nil {
			t.Fatal(err)
		}
		golden := filepath.Join("testdata", name)
		if *update {
			if err := os.WriteFile(golden, got.Bytes(), 0o600); err != nil {
				t.Fatal(err)
			}
		}
		want, err := os.ReadFile(golden)
		if err != nil {
			t.Fatal(err)
		}
		if !bytes.Equal(got.Bytes(), want) {
			t.Errorf("%s: got\n%s\nwant\n%s", name, &got, want)
		}
	}
}

func TestPlotFormats(t *testing.T) {
	for ending, magic := range map[string]string{".png": "\x89PNG", ".svg": "<?xml"} {
		path := filepath.Join(t.TempDir(), "plot"+ending)
		if err := sampleReport().Plot(path); err != nil {
			t.Fatal(err)
		}
		got, err := os.ReadFile(path)
		if err != nil || !bytes.HasPrefix(got, []byte(magic)) {
			t.Errorf("%s: got %.8q, error %v; want %q in front", ending, got, err, magic)
		}
	}
	if err := sampleReport().Plot(filepath.Join(t.TempDir(), "plot.unknown")); err == nil {
		t.Error("got no error for an unknown format")
	}
}
