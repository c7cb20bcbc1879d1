package loader

import (
	"errors"
	"os"
	"testing"
)

func TestWithReturnsChangedCopy(t *testing.T) {
	a := Set{Routes: []Route{{Name: "chat"}}, Versions: []Version{{Name: "v1"}}}
	b := a.WithRoute(Route{Name: "chat", Idempotent: true}).
		WithRoute(Route{Name: "notes"}).
		WithVersion(Version{Name: "v1", Model: "m"}).
		WithMove(Move{Name: "up"})
	if r, _ := a.Route("chat"); r.Idempotent || len(a.Routes) != 1 || len(a.Moves) != 0 {
		t.Errorf("got original %+v, want it as it was", a)
	}
	if r, _ := b.Route("chat"); !r.Idempotent || len(b.Routes) != 2 || len(b.Moves) != 1 {
		t.Errorf("got copy %+v, want it changed", b)
	}
	if v, _ := b.Version("v1"); v.Model != "m" {
		t.Errorf("got version %+v, want model m", v)
	}
}

func TestParseRecordsLines(t *testing.T) {
	doc, err := Parse([]byte("routes:\n  - name: chat\n    kind: model\n    timeout: 30s\n"))
	if err != nil {
		t.Fatal(err)
	}
	for _, tc := range []struct {
		field string
		want  int
	}{{"kind", 3}, {"timeout", 4}, {"target", 2}} {
		if got := doc.Line("routes/chat", tc.field); got != tc.want {
			t.Errorf("got line %d of %s, want %d", got, tc.field, tc.want)
		}
	}
}

func TestExampleSettings(t *testing.T) {
	b, err := os.ReadFile("../../../examples/settings/entry.yaml")
	if err != nil {
		t.Fatal(err)
	}
	s, err := ParseSettings(b)
	if err != nil {
		t.Fatal(err)
	}
	if got := s.Drain.Std().Seconds(); got != 10 || len(s.Seeds) != 2 {
		t.Errorf("got drain %g s and %d seeds, want 10 s and 2", got, len(s.Seeds))
	}
}

func FuzzParse(f *testing.F) {
	for _, s := range []string{"", "routes:", "routes: [{name: a, versions: [{version: b, share: 1}]}]", "moves: [{by: x}]", "- a", "a: &a [*a]"} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		var faults *FaultsError
		if _, err := Parse(text); err != nil && !errors.As(err, &faults) {
			t.Errorf("got error %v, want a list of faults", err)
		}
		if _, err := ParseSettings(text); err != nil && !errors.As(err, &faults) {
			t.Errorf("got error %v, want a list of faults", err)
		}
	})
}
