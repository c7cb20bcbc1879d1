package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"

	"golang.org/x/sync/errgroup"
)

// config holds the flags: which days run on which sites, with which seeds and policies off.
type config struct {
	bench, repository, workDir string
	sites, days, seeds, off    []string
	parallelRuns               int
}

// benchRun is one run of a day on a site, with one policy off or, if off is empty, none.
type benchRun struct {
	off, site, day, seed string
	result               result
}

// result is the result of a day as the bench writes it to its journal.
type result struct {
	// Worth is the score of the day, Served the fraction of the demand that was served, and
	// Broken the rules that were broken.
	Worth  float64        `json:"G"`
	Served float64        `json:"served"`
	Broken map[string]any `json:"rules"`
}

// settingsFile is the template of the settings. The list of policies that are off is inserted
// before settingsAnchor.
const (
	settingsFile   = "deploy/settings.yaml"
	settingsAnchor = "  exposure:"
)

var errNoResult = errors.New("the journal has no day")

// runAll runs all days on all sites with all seeds and policies, cfg.parallelRuns at a time.
func runAll(ctx context.Context, cfg config) ([]benchRun, error) {
	var runs []benchRun
	for _, off := range append([]string{""}, cfg.off...) {
		if err := cloneWithout(ctx, cfg, off); err != nil {
			return nil, err
		}
		for _, site := range cfg.sites {
			for _, day := range cfg.days {
				for _, seed := range cfg.seeds {
					runs = append(runs, benchRun{off: off, site: site, day: day, seed: seed})
				}
			}
		}
	}
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(cfg.parallelRuns)
	for i := range runs {
		g.Go(func() error {
			r, err := runs[i].run(ctx, cfg)
			runs[i].result = r
			return err
		})
	}
	return runs, g.Wait()
}

// cloneDir returns the directory of the clone in which a policy is off.
func cloneDir(cfg config, off string) string { return filepath.Join(cfg.workDir, "off-"+off) }

// cloneWithout clones the repository and switches a policy off in the settings of the clone.
func cloneWithout(ctx context.Context, cfg config, off string) error {
	dir := cloneDir(cfg, off)
	if out, err := exec.CommandContext(ctx, "git", "clone", "--quiet", cfg.repository, dir).CombinedOutput(); err != nil {
		return fmt.Errorf("clone %s: %w: %s", cfg.repository, err, out)
	}
	if off == "" {
		return nil
	}
	path := filepath.Join(dir, settingsFile)
	b, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	text := strings.Replace(string(b), settingsAnchor, "  off: ["+off+"]\n"+settingsAnchor, 1)
	return os.WriteFile(path, []byte(text), 0o600)
}

// run starts the bench for the day and reads the result from the journal.
func (p benchRun) run(ctx context.Context, cfg config) (result, error) {
	why := "ablation: all policies on"
	if p.off != "" {
		why = "ablation: without " + p.off
	}
	args := []string{"run", p.site, p.day, "--no-cpu", "--why", why}
	if p.seed != "" {
		args = append(args, "--seed", p.seed)
	}
	cmd := exec.CommandContext(ctx, cfg.bench, args...)
	cmd.Dir = cloneDir(cfg, p.off)
	out, err := cmd.CombinedOutput()
	// The bench fails if a rule is broken, but writes a result all the same.
	if id := parseSnapshotID(string(out)); id != "" {
		return readResult(cmd.Dir, id)
	}
	return result{}, fmt.Errorf("%s without %q: %w: %s", p.day, p.off, errors.Join(err, errNoResult), out)
}

// parseSnapshotID returns the ID of the journal entry from the output of the bench, or "".
func parseSnapshotID(out string) string {
	for line := range strings.Lines(out) {
		if id, ok := strings.CutPrefix(strings.TrimSpace(line), "snapshot "); ok {
			return id
		}
	}
	return ""
}

// readResult reads the result of the one day of a journal entry.
func readResult(dir, id string) (result, error) {
	paths, err := filepath.Glob(filepath.Join(dir, "journal", "*-"+id+".json"))
	if err != nil || len(paths) != 1 {
		return result{}, fmt.Errorf("journal entry %s: found %d: %w", id, len(paths), errors.Join(err, errNoResult))
	}
	b, err := os.ReadFile(paths[0])
	if err != nil {
		return result{}, err
	}
	var entry struct {
		Days []result `json:"days"`
	}
	if err := json.Unmarshal(b, &entry); err != nil {
		return result{}, fmt.Errorf("journal entry %s: %w", id, err)
	}
	if len(entry.Days) != 1 {
		return result{}, fmt.Errorf("journal entry %s: %w", id, errNoResult)
	}
	return entry.Days[0], nil
}
