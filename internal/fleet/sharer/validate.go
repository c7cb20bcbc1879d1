package sharer

import (
	"errors"
	"fmt"
	"math"
)

const (
	// maxFragments limits the number of fragments of one hub's totals.
	maxFragments = 1000
	// maxCount limits what a daemon can have in flight, and maxTotal what can be admitted; both
	// are far above what a fleet reaches.
	maxCount = 1 << 40
	maxTotal = 1 << 60
)

var errMalformed = errors.New("malformed")

// validate returns an error if the fragment numbers, a load or an admitted total is out of range.
func (d totalsFragment) validate() error {
	if d.Fragments < 1 || d.Fragments > maxFragments || d.Fragment < 0 || d.Fragment >= d.Fragments {
		return fmt.Errorf("fragment %d of %d of totals out of range: %w", d.Fragment, d.Fragments, errMalformed)
	}
	return errors.Join(validateLoads(d.Loads), validateSpent(d.Admissions))
}

// validate returns an error if a load or an admitted total is out of range.
func (w loadReport) validate() error {
	return errors.Join(validateLoads(w.Loads), validateSpent(w.Admissions))
}

func validateLoads(loads []Load) error {
	for _, l := range loads {
		if l.Running < 0 || l.Running > maxCount || l.PromptTokens < 0 || l.PromptTokens > maxCount {
			return fmt.Errorf("load at endpoint %q out of range: %w", l.Endpoint, errMalformed)
		}
	}
	return nil
}

// validateSpent returns an error if an admitted total is out of range. A NaN would make every
// total that it is added to NaN for good.
func validateSpent(spent []Admissions) error {
	for _, s := range spent {
		if math.IsNaN(s.Total) || math.Abs(s.Total) > maxTotal {
			return fmt.Errorf("admitted total of organisation %q out of range: %w", s.Organisation, errMalformed)
		}
	}
	return nil
}

// validate returns an error if a status has no sender or a number in it is out of range.
func (s Status) validate() error {
	if s.Name == "" || s.Address == "" {
		return fmt.Errorf("status without name or address: %w", errMalformed)
	}
	if math.IsNaN(s.Size) || math.IsInf(s.Size, 0) {
		return fmt.Errorf("host size in status of %q is not finite: %w", s.Name, errMalformed)
	}
	if s.DutyEpoch > maxTotal {
		return fmt.Errorf("epoch in status of %q out of range: %w", s.Name, errMalformed)
	}
	return errors.Join(validateLoads(s.Loads), validateSpent(s.Admissions), validateLeft(s.RemainingAllowance), validateLimits(s.RequestLimits), validateObservations(s.Observations))
}

func validateLimits(limits []RequestLimit) error {
	for _, l := range limits {
		if err := l.Validate(); err != nil {
			return err
		}
	}
	return nil
}

// Validate returns an error if a number of the limit is out of range.
func (l RequestLimit) Validate() error {
	if !(l.PerSecond >= 0) || math.IsInf(l.PerSecond, 0) || l.Age < 0 || l.Age > maxCount {
		return fmt.Errorf("request limit of endpoint %q out of range: %w", l.Endpoint, errMalformed)
	}
	return nil
}

func validateLeft(left []RemainingAllowance) error {
	for _, l := range left {
		if math.IsNaN(l.Level) || math.Abs(l.Level) > maxTotal {
			return fmt.Errorf("remaining allowance of organisation %q out of range: %w", l.Organisation, errMalformed)
		}
	}
	return nil
}
