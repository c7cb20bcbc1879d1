package switcher

import (
	"strings"
	"testing"
)

func TestParse(t *testing.T) {
	p, err := Parse([]string{"home", "spot"})
	if err != nil {
		t.Fatal(err)
	}
	for _, on := range AllPolicies() {
		if got, want := p.IsOn(on), on != Home && on != Spot; got != want {
			t.Errorf("policy %s: got on=%t, want %t", on, got, want)
		}
	}
	if _, err := Parse([]string{"home", "magic"}); err == nil || !strings.Contains(err.Error(), `"magic"`) {
		t.Errorf("got error %v, want one that names the unknown word", err)
	}
}

func TestWithoutReturnsChangedCopy(t *testing.T) {
	var all Policies
	if all.Without(Near); !all.IsOn(Near) {
		t.Error("got a policy switched off in the former value, want it on")
	}
}
