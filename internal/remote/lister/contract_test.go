package lister_test

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"testing"
	"time"

	"pomelotiller/internal/remote/lister"
	"pomelotiller/internal/standin/keeper"
)

// addressVariable is the environment variable with the address of a host list that is tested instead
// of the stand-in.
const addressVariable = "POMELOTILLER_LIST"

// startStandin starts a stand-in with two hosts and returns its address.
func startStandin(t *testing.T) string {
	k := keeper.New()
	k.SetHost(lister.Host{Name: "b", Domain: "portland", Pool: "portland", Class: "l4", Role: lister.RoleEngine, Address: "127.0.0.1:1", State: lister.StateLive})
	k.SetHost(lister.Host{Name: "a", Domain: "hartford", Role: lister.RoleEntry, Address: "127.0.0.1:2", State: lister.StateLeaving, Reclaimable: true, LeaveAt: time.Unix(1, 0)})
	s := httptest.NewServer(k.Handler())
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

// TestListContract checks what every host list must contain. POMELOTILLER_LIST is the address of the
// tested one.
func TestListContract(t *testing.T) {
	address := os.Getenv(addressVariable)
	if address == "" {
		address = startStandin(t)
	}
	hosts, err := lister.NewClient(lister.ClientConfig{Address: address}).Hosts(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	seen := make(map[string]bool)
	for _, h := range hosts {
		if h.Name == "" || seen[h.Name] {
			t.Errorf("got host %+v, want a name of its own", h)
		}
		seen[h.Name] = true
		if h.Domain == "" {
			t.Errorf("got host %q without a failure domain", h.Name)
		}
		if h.Role != lister.RoleEngine && h.Role != lister.RoleService && h.Role != lister.RoleEntry {
			t.Errorf("got role %q of host %q, want a known one", h.Role, h.Name)
		}
		if h.State != lister.StateLive && h.State != lister.StateLeaving {
			t.Errorf("got state %q of host %q, want a known one", h.State, h.Name)
		}
		if _, _, err := net.SplitHostPort(h.Address); err != nil {
			t.Errorf("got address %q of host %q, want host and port", h.Address, h.Name)
		}
		if h.Role != lister.RoleEntry && h.Pool == "" {
			t.Errorf("got endpoint %q without a pool", h.Name)
		}
	}
}

func TestStandinList(t *testing.T) {
	hosts, err := lister.NewClient(lister.ClientConfig{Address: startStandin(t)}).Hosts(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if len(hosts) != 2 || hosts[0].Name != "a" || hosts[1].Name != "b" {
		t.Fatalf("got hosts %+v, want a and b", hosts)
	}
	if h := hosts[0]; !h.Reclaimable || !h.LeaveAt.Equal(time.Unix(1, 0)) || h.State != lister.StateLeaving {
		t.Errorf("got host %+v, want a reclaimable one that leaves", h)
	}
}

// TestListFails checks that every failure to read the complete list returns ErrUnavailable. If an
// incomplete list passed for an empty one, the daemons would drop all hosts.
func TestListFails(t *testing.T) {
	answer := func(status int, body string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(status)
			_, _ = w.Write([]byte(body))
		}
	}
	for _, tc := range []struct {
		name    string
		handler http.HandlerFunc
	}{
		{"service unavailable", answer(http.StatusServiceUnavailable, "")},
		{"not found", answer(http.StatusNotFound, "[]")},
		{"empty body", answer(http.StatusOK, "")},
		{"null", answer(http.StatusOK, "null")},
		{"not JSON", answer(http.StatusOK, "<html>")},
		{"cut short", answer(http.StatusOK, `[{"name":"a"}`)},
		{"not a list", answer(http.StatusOK, `{"name":"a"}`)},
		{"connection closed", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }},
		{"no answer", func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := httptest.NewServer(tc.handler)
			t.Cleanup(s.Close)
			c := lister.NewClient(lister.ClientConfig{Address: s.Listener.Addr().String(), Timeout: 200 * time.Millisecond})
			if hosts, err := c.Hosts(t.Context()); !errors.Is(err, lister.ErrUnavailable) {
				t.Errorf("got hosts %v and error %v, want %v", hosts, err, lister.ErrUnavailable)
			}
		})
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if _, err := lister.NewClient(lister.ClientConfig{Address: startStandin(t)}).Hosts(ctx); !errors.Is(err, context.Canceled) {
		t.Errorf("got error %v, want %v", err, context.Canceled)
	}
}
