// Package planner reads load scenarios and plans their requests. The plan is a
// function of the scenario and its seed alone.
package planner

import (
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/goccy/go-yaml"

	"pomelotiller/internal/config/loader"
)

// Scenario describes an open-loop load.
type Scenario struct {
	Name string `yaml:"name"`
	// Seed decides the arrivals, and who asks for what.
	Seed uint64 `yaml:"seed"`
	// Duration is the time over which requests arrive.
	Duration loader.Duration `yaml:"duration"`
	// Rate is the number of requests a second outside bursts.
	Rate float64 `yaml:"rate"`
	// Timeout is how long an answer is waited for.
	Timeout loader.Duration `yaml:"timeout"`
	// Target is what counts as answered on time.
	Target loader.Target `yaml:"target"`
	// Price is the price of all hosts together an hour.
	Price float64 `yaml:"price"`
	// Daemons are the callers' addresses of the daemons, asked in turn.
	Daemons []string `yaml:"daemons"`
	// Engines and Services are addresses of stand-ins whose counters the
	// report includes.
	Engines  []string `yaml:"engines,omitempty"`
	Services []string `yaml:"services,omitempty"`
	// Organisations send the requests, in proportion to their weights.
	Organisations []Organisation `yaml:"organisations"`
	// Kinds are the kinds of requests.
	Kinds []Kind `yaml:"kinds"`
	// Bursts raise the rate for a while.
	Bursts []Burst `yaml:"bursts,omitempty"`
}

// Organisation is a sender of requests.
type Organisation struct {
	Name string `yaml:"name"`
	// Key is the bearer token in clear.
	Key    string  `yaml:"key"`
	Weight float64 `yaml:"weight"`
}

// Kind is one kind of request: a completion, or an order to a service.
type Kind struct {
	Name  string  `yaml:"name"`
	Route string  `yaml:"route"`
	Share float64 `yaml:"share"`
	// Path makes the request an order: the path below the service's route.
	Path string `yaml:"path,omitempty"`
	// Preface is the number of prompt tokens that all requests of the kind
	// begin with.
	Preface int `yaml:"preface,omitempty"`
	// Sites is the number of shared histories of an organisation, and
	// History the tokens of each at the start.
	Sites   int `yaml:"sites,omitempty"`
	History int `yaml:"history,omitempty"`
	// Growth is the number of tokens that each request adds to the history;
	// after Turns requests the site starts over with another history. Without
	// Turns the history stays as it is.
	Growth int `yaml:"growth,omitempty"`
	Turns  int `yaml:"turns,omitempty"`
	// Prompt is the number of tokens of the request's own, and Answer the
	// length of its answer.
	Prompt int `yaml:"prompt,omitempty"`
	Answer int `yaml:"answer,omitempty"`
}

// Burst multiplies the rate for a while, for one organisation if it names one.
type Burst struct {
	At           loader.Duration `yaml:"at"`
	Length       loader.Duration `yaml:"length"`
	Factor       float64         `yaml:"factor"`
	Organisation string          `yaml:"organisation,omitempty"`
}

// ReadScenario reads and checks a scenario file.
func ReadScenario(path string) (Scenario, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return Scenario{}, fmt.Errorf("scenario: %w", err)
	}
	s, err := ParseScenario(b)
	if err != nil {
		return Scenario{}, fmt.Errorf("scenario %s: %w", path, err)
	}
	return s, nil
}

// ParseScenario decodes and checks a scenario.
func ParseScenario(text []byte) (Scenario, error) {
	var s Scenario
	if err := yaml.UnmarshalWithOptions(text, &s, yaml.Strict()); err != nil {
		return s, errors.New(yaml.FormatError(err, false, true))
	}
	return s, s.check()
}

// check returns all faults of the scenario, one a line.
func (s Scenario) check() error {
	var faults []string
	want := func(ok bool, field, value, right string) {
		if !ok {
			faults = append(faults, fmt.Sprintf("%s: got %s; want %s", field, value, right))
		}
	}
	want(s.Duration > 0, "duration", s.Duration.Std().String(), "a time above 0, such as 60s")
	want(s.Rate > 0, "rate", fmt.Sprint(s.Rate), "requests a second, above 0")
	want(s.Timeout > 0, "timeout", s.Timeout.Std().String(), "a time above 0, such as 30s")
	want(s.Target.First > 0, "target.first", s.Target.First.Std().String(), "a time above 0, such as 1s")
	want(s.Target.Token > 0, "target.token", s.Target.Token.Std().String(), "a time above 0, such as 27ms")
	want(len(s.Daemons) > 0, "daemons", "none", "addresses such as 127.0.0.1:8080")
	want(len(s.Organisations) > 0, "organisations", "none", "at least one, with name, key and weight")
	want(len(s.Kinds) > 0, "kinds", "none", "at least one, with name, route and share")
	names := make(map[string]bool)
	for _, o := range s.Organisations {
		names[o.Name] = true
		want(o.Weight > 0, "organisations/"+o.Name+".weight", fmt.Sprint(o.Weight), "a weight above 0")
		want(o.Key != "", "organisations/"+o.Name+".key", "none", "the bearer token in clear")
	}
	for _, k := range s.Kinds {
		for _, f := range k.faults() {
			faults = append(faults, "kinds/"+k.Name+"."+f)
		}
	}
	for i, b := range s.Bursts {
		field := fmt.Sprintf("bursts/#%d", i+1)
		want(b.Factor > 0 && b.Length > 0, field, fmt.Sprintf("factor %g, length %s", b.Factor, b.Length.Std()), "both above 0")
		want(b.Organisation == "" || names[b.Organisation], field+".organisation", b.Organisation, "one of the scenario's organisations")
	}
	if len(faults) > 0 {
		return errors.New(strings.Join(faults, "\n"))
	}
	return nil
}

func (k Kind) faults() []string {
	var faults []string
	if k.Route == "" {
		faults = append(faults, "route: is missing; want the name of a route")
	}
	if k.Share <= 0 {
		faults = append(faults, fmt.Sprintf("share: got %g; want a share above 0", k.Share))
	}
	for _, f := range []struct {
		name  string
		value int
	}{
		{"preface", k.Preface},
		{"sites", k.Sites},
		{"history", k.History},
		{"growth", k.Growth},
		{"turns", k.Turns},
		{"prompt", k.Prompt},
		{"answer", k.Answer},
	} {
		if f.value < 0 {
			faults = append(faults, fmt.Sprintf("%s: got %d; want 0 or more", f.name, f.value))
		}
	}
	if k.Growth > 0 && k.Turns == 0 {
		faults = append(faults, "turns: is missing; want the number of requests after which a growing history starts over")
	}
	if k.Path == "" && k.Answer == 0 {
		faults = append(faults, "answer: is missing; want the tokens of an answer, or a path for an order")
	}
	return faults
}
