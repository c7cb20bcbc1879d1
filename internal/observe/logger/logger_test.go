package logger

import (
	"bytes"
	"strings"
	"testing"

	"github.com/go-kit/log/level"
)

func TestNew(t *testing.T) {
	for _, tc := range []struct {
		name string
		cfg  Config
		want string
	}{
		{"logfmt", Config{}, `daemon=d1 msg="member changed"`},
		{"json", Config{Format: "json"}, `"level":"info","msg":"member changed","time":`},
		{"below the level", Config{Level: "warn"}, ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var out bytes.Buffer
			tc.cfg.Writer = &out
			l, err := New(tc.cfg, "daemon", "d1")
			if err != nil {
				t.Fatal(err)
			}
			if err := level.Info(l).Log("msg", "member changed"); err != nil {
				t.Fatal(err)
			}
			if got := out.String(); tc.want == "" && got != "" || !strings.Contains(got, tc.want) {
				t.Errorf("got %q, want it to hold %q", got, tc.want)
			}
		})
	}
	for _, cfg := range []Config{{Format: "xml"}, {Level: "loud"}} {
		if _, err := New(cfg); err == nil {
			t.Errorf("got no error for %+v, want one", cfg)
		}
	}
}
