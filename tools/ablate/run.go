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

// config says what is played.
type config struct {
	bench, repository, work string
	sites, days, seeds, off []string
	jobs                    int
}

// play is one day with one policy off, or none.
type play struct {
	off, site, day, seed string
	result               result
}

// result is what the bench made of a day, in the words of its journal.
type result struct {
	// Worth is that of the day, Served the part of what was asked for.
	Worth  float64        `json:"G"`
	Served float64        `json:"served"`
	Broken map[string]any `json:"rules"`
}

// settingsFile is the template of the settings, and settingsEnd the field after which the
// policies that are off are named.
const (
	settingsFile = "deploy/settings.yaml"
	settingsEnd  = "  exposure:"
)

var errNoResult = errors.New("the journal has no day")

// playAll plays all days, some at a time.
func playAll(ctx context.Context, cfg config) ([]play, error) {
	var plays []play
	for _, off := range append([]string{""}, cfg.off...) {
		if err := clone(ctx, cfg, off); err != nil {
			return nil, err
		}
		for _, site := range cfg.sites {
			for _, day := range cfg.days {
				for _, seed := range cfg.seeds {
					plays = append(plays, play{off: off, site: site, day: day, seed: seed})
				}
			}
		}
	}
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(cfg.jobs)
	for i := range plays {
		g.Go(func() error {
			r, err := plays[i].run(ctx, cfg)
			plays[i].result = r
			return err
		})
	}
	return plays, g.Wait()
}

// folder is the clone in which a policy is off.
func folder(cfg config, off string) string { return filepath.Join(cfg.work, "off-"+off) }

// clone makes a clone of the repository whose settings switch a policy off.
func clone(ctx context.Context, cfg config, off string) error {
	dir := folder(cfg, off)
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
	text := strings.Replace(string(b), settingsEnd, "  off: ["+off+"]\n"+settingsEnd, 1)
	return os.WriteFile(path, []byte(text), 0o600)
}

// run plays the day and reads its result from the journal.
func (p play) run(ctx context.Context, cfg config) (result, error) {
	why := "ablation: all policies on"
	if p.off != "" {
		why = "ablation: without " + p.off
	}
	args := []string{"run", p.site, p.day, "--no-cpu", "--why", why}
	if p.seed != "" {
		args = append(args, "--seed", p.seed)
	}
	cmd := exec.CommandContext(ctx, cfg.bench, args...)
	cmd.Dir = folder(cfg, p.off)
	out, err := cmd.CombinedOutput()
	// A day on which a rule is broken has a result too.
	if id := snapshotOf(string(out)); id != "" {
		return read(cmd.Dir, id)
	}
	return result{}, fmt.Errorf("%s without %q: %w: %s", p.day, p.off, errors.Join(err, errNoResult), out)
}

// snapshotOf returns the id of the entry that a play left in the journal.
func snapshotOf(out string) string {
	for line := range strings.Lines(out) {
		if id, ok := strings.CutPrefix(strings.TrimSpace(line), "snapshot "); ok {
			return id
		}
	}
	return ""
}

// read returns the result of one entry of the journal.
func read(dir, id string) (result, error) {
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
