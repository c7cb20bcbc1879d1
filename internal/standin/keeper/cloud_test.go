package keeper

import (
	"errors"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/go-chi/chi/v5"

	"pomelotiller/internal/remote/renter"
)

// TestCloudOverHTTP tests the cloud API with the real client: a start, a repeated
// start with the same token, a refusal, a lost answer, a reclaim notice and a stop.
func TestCloudOverHTTP(t *testing.T) {
	now := time.Unix(0, 0)
	cloud := &Cloud{Now: func() time.Time { return now }, Boot: time.Minute}
	r := chi.NewRouter()
	cloud.Routes(r)
	srv := httptest.NewServer(r)
	defer srv.Close()
	var c renter.Renter = renter.NewClient(renter.ClientConfig{Address: strings.TrimPrefix(srv.URL, "http://")})
	spot := renter.HostType{Class: "l4", Domain: "portland", Reclaimable: true}
	cloud.SetOffers([]renter.Offer{{HostType: spot, Price: 0.5}})
	if got, err := c.Offers(t.Context()); err != nil || len(got) != 1 || got[0].Price != 0.5 {
		t.Errorf("got offers %v, error %v; want one at 0.5", got, err)
	}

	first, err := c.Start(t.Context(), renter.Start{HostType: spot, Token: "a"})
	if err != nil || first.Ready {
		t.Fatalf("got host %+v, error %v; want one that is not ready", first, err)
	}
	if again, err := c.Start(t.Context(), renter.Start{HostType: spot, Token: "a"}); err != nil || again.Name != first.Name {
		t.Errorf("got host %+v, error %v; want %s for the same token", again, err, first.Name)
	}

	cloud.SetFaults(CloudFaults{LoseAnswers: 1})
	if _, err := c.Start(t.Context(), renter.Start{HostType: spot, Token: "b"}); err == nil || errors.Is(err, renter.ErrRefused) {
		t.Errorf("got error %v for a lost answer, want one that does not say refused", err)
	}
	cloud.SetFaults(CloudFaults{Refuse: []renter.HostType{spot}})
	if _, err := c.Start(t.Context(), renter.Start{HostType: spot, Token: "b"}); err != nil {
		t.Errorf("got error %v for a start that took effect before, want its host", err)
	}
	if _, err := c.Start(t.Context(), renter.Start{HostType: spot, Token: "c"}); !errors.Is(err, renter.ErrRefused) {
		t.Errorf("got error %v, want %v", err, renter.ErrRefused)
	}
	if got := cloud.Starts(); got != 2 {
		t.Errorf("got %d hosts rented, want 2", got)
	}

	now = now.Add(time.Minute)
	if err := c.Stop(t.Context(), first.Name); err != nil {
		t.Fatal(err)
	}
	cloud.Reclaim("portland", "l4", 30*time.Second)
	hosts, err := c.Hosts(t.Context())
	if err != nil || len(hosts) != 1 || !hosts[0].Ready || !hosts[0].LeaveAt.Equal(now.Add(30*time.Second)) {
		t.Errorf("got hosts %+v, error %v; want one that is ready and leaves in 30 s", hosts, err)
	}
	now = now.Add(30 * time.Second)
	if hosts, err := c.Hosts(t.Context()); err != nil || len(hosts) != 0 {
		t.Errorf("got hosts %+v, error %v; want none after the notice", hosts, err)
	}
}
