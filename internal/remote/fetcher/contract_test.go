package fetcher_test

import (
	"errors"
	"net/http/httptest"
	"os"
	"testing"
	"time"

	"pomelotiller/internal/remote/fetcher"
	"pomelotiller/internal/standin/keeper"
)

// Environment variables with the address of a weight store that is tested instead of the stand-in,
// and with the name of weights in that store.
const (
	addressVariable = "POMELOTILLER_WEIGHTS"
	nameVariable    = "POMELOTILLER_WEIGHTS_NAME"
)

const retryTimeout = 30 * time.Second

// TestWeightsContract checks what every weight store must do: answer with the name and size of the
// weights, or with the time after which to retry.
func TestWeightsContract(t *testing.T) {
	address, name := os.Getenv(addressVariable), os.Getenv(nameVariable)
	if address == "" {
		srv := httptest.NewServer(keeper.New().Handler())
		t.Cleanup(srv.Close)
		address, name = srv.Listener.Addr().String(), "chat/v1"
	}
	c := fetcher.NewClient(fetcher.ClientConfig{Address: address})
	for deadline := time.Now().Add(retryTimeout); ; {
		w, err := c.Fetch(t.Context(), name)
		var limit *fetcher.LimitError
		if errors.As(err, &limit) && time.Now().Before(deadline) {
			if limit.RetryAfter <= 0 {
				t.Fatalf("got retry after %s, want above 0", limit.RetryAfter)
			}
			time.Sleep(limit.RetryAfter)
			continue
		}
		if err != nil || w.Name != name || w.Bytes <= 0 {
			t.Errorf("got weights %+v and error %v, want %q with a size", w, err, name)
		}
		return
	}
}

// TestStandinRate checks that the stand-in refuses loads above its rate limit.
func TestStandinRate(t *testing.T) {
	k := keeper.New()
	k.SetWeightRate(keeper.WeightRate{Every: time.Hour})
	srv := httptest.NewServer(k.Handler())
	t.Cleanup(srv.Close)
	c := fetcher.NewClient(fetcher.ClientConfig{Address: srv.Listener.Addr().String()})
	if _, err := c.Fetch(t.Context(), "chat/v1"); err != nil {
		t.Fatal(err)
	}
	var limit *fetcher.LimitError
	if _, err := c.Fetch(t.Context(), "chat/v1"); !errors.As(err, &limit) || limit.RetryAfter > time.Hour || limit.RetryAfter < time.Minute {
		t.Errorf("got error %v, want a limit of nearly an hour", err)
	}
}
