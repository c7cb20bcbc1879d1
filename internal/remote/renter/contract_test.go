package renter_test

import (
	"net/http/httptest"
	"os"
	"slices"
	"testing"

	"github.com/go-chi/chi/v5"
	"github.com/google/uuid"

	"pomelotiller/internal/remote/renter"
	"pomelotiller/internal/standin/keeper"
)

// addressVariable is the environment variable with the address of a cloud that is tested instead of
// the stand-in. The test rents one host of the cheapest offer and stops it.
const addressVariable = "POMELOTILLER_CLOUD"

// TestCloudContract checks what every cloud must do: return the same host for a repeated start with
// the same token, and list a host until it is stopped.
func TestCloudContract(t *testing.T) {
	address := os.Getenv(addressVariable)
	if address == "" {
		cloud := &keeper.Cloud{}
		cloud.SetOffers([]renter.Offer{{HostType: renter.HostType{Class: "l4", Domain: "portland"}, Price: 1}})
		r := chi.NewRouter()
		cloud.Routes(r)
		srv := httptest.NewServer(r)
		t.Cleanup(srv.Close)
		address = srv.Listener.Addr().String()
	}
	c := renter.NewClient(renter.ClientConfig{Address: address})
	offers, err := c.Offers(t.Context())
	if err != nil || len(offers) == 0 {
		t.Fatalf("got offers %v and error %v, want some", offers, err)
	}
	cheapest := slices.MinFunc(offers, func(a, b renter.Offer) int { return int(1000 * (a.Price - b.Price)) })
	start := renter.Start{HostType: cheapest.HostType, Token: uuid.NewString()}
	h, err := c.Start(t.Context(), start)
	if err != nil || h.HostType != start.HostType || h.Token != start.Token || h.Name == "" {
		t.Fatalf("got host %+v and error %v, want one of slot %+v", h, err, start.HostType)
	}
	if again, err := c.Start(t.Context(), start); err != nil || again.Name != h.Name {
		t.Errorf("got host %+v and error %v for the same token, want %s", again, err, h.Name)
	}
	for _, listed := range []bool{true, false} {
		hosts, err := c.Hosts(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		if got := slices.ContainsFunc(hosts, func(o renter.Host) bool { return o.Name == h.Name }); got != listed {
			t.Errorf("got listed %t, want %t", got, listed)
		}
		if err := c.Stop(t.Context(), h.Name); listed && err != nil {
			t.Fatal(err)
		}
	}
}
