// Package planner reads load scenarios and plans their requests. The plan depends on the scenario and
// its seed only.
package planner

import (
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/goccy/go-yaml"

	"pomelotiller/internal/config/loader"
)

// Scenario describes an open-loop load: requests start at planned times, whether or not earlier ones
// were answered.
type Scenario struct {
	Name string `yaml:"name"`
	// Seed determines the arrival times and the organisation, kind and prompt of each request.
	Seed uint64 `yaml:"seed"`
	// Duration is the time over which requests arrive.
	Duration loader.Duration `yaml:"duration"`
	// Rate is the total request rate outside bursts, in requests per second.
	Rate float64 `yaml:"rate"`
	// Timeout is the time from the planned start to the end of the answer after which the client
	// gives up.
	Timeout loader.Duration `yaml:"timeout"`
	// Target is the latency target; an answer that meets it is on time.
	Target loader.Target `yaml:"target"`
	// Price is the price of all hosts together, per hour.
	Price float64 `yaml:"price"`
	// Daemons are the addresses at which the daemons listen for callers; requests go to them in
	// round-robin order.
	Daemons []string `yaml:"daemons"`
	// Engines and Services are addresses of stand-ins; the report includes their counters.
	Engines  []string `yaml:"engines,omitempty"`
	Services []string `yaml:"services,omitempty"`
	// Organisations send the requests, in proportion to their weights.
	Organisations []Organisation `yaml:"organisations"`
	// Kinds are the kinds of requests, drawn in proportion to their shares.
	Kinds []Kind `yaml:"kinds"`
	// Bursts multiply the rate for a limited time.
	Bursts []Burst `yaml:"bursts,omitempty"`
}

// Organisation is a customer that sends requests.
type Organisation struct {
	Name string `yaml:"name"`
	// Key is the bearer token in plain text.
	Key    string  `yaml:"key"`
	Weight float64 `yaml:"weight"`
}

// Kind is one kind of request: a completion, or an order to a service.
type Kind struct {
	Name  string  `yaml:"name"`
	Route string  `yaml:"route"`
	Share float64 `yaml:"share"`
	// Path is the path below the route of the service. A kind with a path is an order; one without
	// is a completion.
	Path string `yaml:"path,omitempty"`
	// SharedPrefixTokens is the length in tokens of the prefix that all prompts of the kind share.
	SharedPrefixTokens int `yaml:"preface,omitempty"`
	// Sites is the number of histories that the prompts of one organisation share, and HistoryTokens
	// the initial length of each.
	Sites         int `yaml:"sites,omitempty"`
	HistoryTokens int `yaml:"history,omitempty"`
	// GrowthTokens is the number of tokens that each request adds to the history of its site. After
	// TurnsPerHistory requests the site starts another history; if that is 0, the history never
	// changes.
	GrowthTokens    int `yaml:"growth,omitempty"`
	TurnsPerHistory int `yaml:"turns,omitempty"`
	// PromptTokens is the length of the part of the prompt that no other request has, and
	// AnswerTokens the length of the answer.
	PromptTokens int `yaml:"prompt,omitempty"`
	AnswerTokens int `yaml:"answer,omitempty"`
}

// Burst multiplies the rate of one organisation, or of all if it names none, for Length from Start.
type Burst struct {
	Start        loader.Duration `yaml:"at"`
	Length       loader.Duration `yaml:"length"`
	Factor       float64         `yaml:"factor"`
	Organisation string          `yaml:"organisation,omitempty"`
}

// ReadScenario reads and validates a scenario file.
func ReadScenario(path string) (Scenario, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return Scenario{}, fmt.Errorf("read scenario: %w", err)
	}
	s, err := ParseScenario(b)
	if err != nil {
		return Scenario{}, fmt.Errorf("scenario %s: %w", path, err)
	}
	return s, nil
}

// ParseScenario decodes and validates a scenario.
func ParseScenario(text []byte) (Scenario, error) {
	var s Scenario
	if err := yaml.UnmarshalWithOptions(text, &s, yaml.Strict()); err != nil {
		return s, errors.New(yaml.FormatError(err, false, true))
	}
	return s, s.validate()
}

// validate returns an error that lists all invalid fields of the scenario, one per line.
func (s Scenario) validate() error {
	var validationErrors []string
	want := func(ok bool, field, value, right string) {
		if !ok {
			validationErrors = append(validationErrors, fmt.Sprintf("%s: got %s; want %s", field, value, right))
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
		for _, f := range k.validationErrors() {
			validationErrors = append(validationErrors, "kinds/"+k.Name+"."+f)
		}
	}
	for i, b := range s.Bursts {
		field := fmt.Sprintf("bursts/#%d", i+1)
		want(b.Factor > 0 && b.Length > 0, field, fmt.Sprintf("factor %g, length %s", b.Factor, b.Length.Std()), "both above 0")
		want(b.Organisation == "" || names[b.Organisation], field+".organisation", b.Organisation, "one of the scenario's organisations")
	}
	if len(validationErrors) > 0 {
		return errors.New(strings.Join(validationErrors, "\n"))
	}
	return nil
}

// validationErrors describes all invalid fields of the kind.
func (k Kind) validationErrors() []string {
	var validationErrors []string
	if k.Route == "" {
		validationErrors = append(validationErrors, "route: is missing; want the name of a route")
	}
	if k.Share <= 0 {
		validationErrors = append(validationErrors, fmt.Sprintf("share: got %g; want a share above 0", k.Share))
	}
	for _, f := range []struct {
		name  string
		value int
	}{
		{"preface", k.SharedPrefixTokens},
		{"sites", k.Sites},
		{"history", k.HistoryTokens},
		{"growth", k.GrowthTokens},
		{"turns", k.TurnsPerHistory},
		{"prompt", k.PromptTokens},
		{"answer", k.AnswerTokens},
	} {
		if f.value < 0 {
			validationErrors = append(validationErrors, fmt.Sprintf("%s: got %d; want 0 or more", f.name, f.value))
		}
	}
	if k.GrowthTokens > 0 && k.TurnsPerHistory == 0 {
		validationErrors = append(validationErrors, "turns: is missing; want the number of requests after which a growing history starts over")
	}
	if k.Path == "" && k.AnswerTokens == 0 {
		validationErrors = append(validationErrors, "answer: is missing; want the tokens of an answer, or a path for an order")
	}
	return validationErrors
}
