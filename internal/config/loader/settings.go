package loader

import (
	"cmp"
	"fmt"
	"os"
	"slices"
	"strings"

	"github.com/goccy/go-yaml/parser"
)

// Settings are the settings of one daemon.
type Settings struct {
	// Name identifies the daemon among its peers.
	Name string `yaml:"name"`
	// Domain is the failure domain that the daemon runs in.
	Domain string `yaml:"domain"`
	// Callers is the listen address for callers.
	Callers string `yaml:"callers"`
	// Operators is the listen address for operators.
	Operators string `yaml:"operators"`
	// Peers is the listen address, over UDP, for other daemons.
	Peers string `yaml:"peers"`
	// Advertise is the address at which other daemons reach this one, if it differs from Peers.
	Advertise string `yaml:"advertise,omitempty"`
	// Platform is the address of the platform's services.
	Platform string `yaml:"platform"`
	// Seeds are addresses of peers that the daemon contacts at its start, in addition to the
	// host list.
	Seeds []string `yaml:"seeds,omitempty"`
	// TLS names the files with the key material for connections between daemons.
	TLS TLS `yaml:"tls"`
	// Log configures the log.
	Log Log `yaml:"log,omitempty"`
	// Trace configures tracing.
	Trace Trace `yaml:"trace,omitempty"`
	// Drain is how long the daemon accepts connections after the signal to stop, since load
	// balancers notice with a delay that it is not ready.
	Drain Duration `yaml:"drain,omitempty"`
	// Policy is the routing policy; empty is "predicted".
	Policy string `yaml:"policy,omitempty"`
	// Edge is set if the platform keeps the configuration and the endpoints in its store. The
	// daemons then create their key material themselves.
	Edge *Edge `yaml:"edge,omitempty"`
}

// PeersAddress returns the address at which other daemons reach this one.
func (s Settings) PeersAddress() string { return cmp.Or(s.Advertise, s.Peers) }

// TLS holds the paths of PEM files: the certificate, its key and the certificate authority.
type TLS struct {
	Cert string `yaml:"cert"`
	Key  string `yaml:"key"`
	CA   string `yaml:"ca"`
}

// Log configures the format and the level of a daemon's log.
type Log struct {
	Format string `yaml:"format,omitempty"`
	Level  string `yaml:"level,omitempty"`
}

// Trace configures the tracing of a daemon.
type Trace struct {
	Export  string `yaml:"export,omitempty"`
	Address string `yaml:"address,omitempty"`
}

// ReadSettings reads and checks a daemon's settings file.
func ReadSettings(path string) (Settings, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, fmt.Errorf("settings: %w", err)
	}
	return ParseSettings(b)
}

// ParseSettings decodes and checks the settings of a daemon. It returns all faults together as
// a *FaultsError.
func ParseSettings(text []byte) (Settings, error) {
	var s Settings
	file, err := parser.ParseBytes(text, 0)
	if err != nil {
		return s, &FaultsError{Faults: []Fault{syntaxFault("settings", err)}}
	}
	var faults []Fault
	if len(file.Docs) > 0 && file.Docs[0].Body != nil {
		faults = decodeFields(file.Docs[0].Body, &s)
	}
	for i := range faults {
		faults[i].Object = "settings"
	}
	for _, f := range s.check() {
		if !slices.ContainsFunc(faults, func(d Fault) bool { return d.Field == f.Field }) {
			faults = append(faults, f)
		}
	}
	if len(faults) > 0 {
		return Settings{}, &FaultsError{Faults: faults}
	}
	return s, nil
}

func (s Settings) check() []Fault {
	var faults []Fault
	for _, f := range []struct{ field, value, want string }{
		{"name", s.Name, "a name, unique among the daemons"},
		{"domain", s.Domain, "the failure domain of the host"},
		{"callers", s.Callers, "an address such as 10.0.0.1:8080"},
		{"operators", s.Operators, "an address such as 10.0.0.1:8081"},
		{"peers", s.Peers, "an address such as 10.0.0.1:8082"},
		{"platform", s.Platform, "an address such as 10.0.0.9:2379"},
		{"tls.cert", s.TLS.Cert, "a file with a certificate in PEM form"},
		{"tls.key", s.TLS.Key, "a file with a key in PEM form"},
		{"tls.ca", s.TLS.CA, "a file with the authority's certificate in PEM form"},
	} {
		if f.value == "" && (s.Edge == nil || !strings.HasPrefix(f.field, "tls.")) {
			faults = append(faults, Fault{Object: "settings", Field: f.field, Problem: "is missing", Want: f.want})
		}
	}
	if s.Edge != nil {
		faults = append(faults, s.Edge.check()...)
	}
	return append(faults, s.checkChoices()...)
}

func (s Settings) checkChoices() []Fault {
	var faults []Fault
	for _, f := range []struct {
		field, value string
		want         []string
	}{
		{"log.format", s.Log.Format, []string{"logfmt", "json"}},
		{"log.level", s.Log.Level, []string{"debug", "info", "warn", "error"}},
		{"policy", s.Policy, []string{"predicted", "least-in-flight", "prefix-hash", "round-robin"}},
		{"trace.export", s.Trace.Export, []string{"off", "stdout", "otlp"}},
	} {
		if f.value != "" && !slices.Contains(f.want, f.value) {
			faults = append(faults, Fault{
				Object: "settings", Field: f.field, Problem: fmt.Sprintf("is %q", f.value),
				Want: "one of " + strings.Join(f.want, ", "),
			})
		}
	}
	if s.Trace.Export == "otlp" && s.Trace.Address == "" {
		faults = append(faults, Fault{
			Object: "settings", Field: "trace.address", Problem: "is missing", Want: "the collector's address, as trace.export is otlp",
		})
	}
	return faults
}
