package loader

import (
	"os"
	"testing"
	"time"
)

func TestEdgeSettings(t *testing.T) {
	b, err := os.ReadFile("testdata/edge.yaml")
	if err != nil {
		t.Fatal(err)
	}
	s, err := ParseSettings(b)
	if err != nil {
		t.Fatal(err)
	}
	if s.Edge == nil || s.Edge.Grace.Std() != 8*time.Second || s.Edge.Retries.Ratio != 0.2 || len(s.Edge.Domains) != 2 {
		t.Errorf("got edge settings %+v, want those of the file", s.Edge)
	}
}
