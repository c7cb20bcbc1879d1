package chooser

import (
	"fmt"
	"testing"
	"time"

	"pomelotiller/internal/fleet/sharer"
	"pomelotiller/internal/fleet/tracker"
)

// Herding: in a large fleet, reported loads are older than the prefill of a prompt takes, so that an
// endpoint which seems free could be chosen by all daemons until new reports arrive. It may get a
// few times its share in that time, not ten times, also where many daemons share few endpoints.
func TestFreeEndpointIsNotOverloaded(t *testing.T) {
	const (
		requests = 20
		// maxShares bounds the requests to the free endpoint, as a multiple of an equal share.
		maxShares = 4
	)
	for _, tc := range []struct{ daemons, endpoints int }{{200, 100}, {65, 35}, {420, 12}} {
		var list []tracker.Endpoint
		var loads []sharer.Load
		for i := range tc.endpoints {
			e := tracker.Endpoint{ID: fmt.Sprintf("e-%02d", i), Service: "s", Domain: fmt.Sprint("z", i%5), Slots: 16}
			list = append(list, e)
			if i > 0 {
				loads = append(loads, sharer.Load{Endpoint: e.ID, Running: 3, PromptTokens: 1000})
			}
		}
		free := 0
		for n := range tc.daemons {
			c := New(Config{Domain: fmt.Sprint("z", n%5), IsLargeFleet: func() bool { return true }})
			c.SetPeerLoads("others", loads)
			for i := range requests {
				q := Query{Service: "s", PromptTokens: 3000, MaxOutputTokens: 100, PromptBlocks: []PromptBlock{
					{ID: fmt.Sprintf("shared-%d-%d", n, i), Tokens: 500}, {ID: "own", Tokens: 2500},
				}}
				ch, ok := c.Pick(q, list)
				if !ok {
					t.Fatal("got no endpoint, want one")
				}
				if ch.Endpoint.ID == list[0].ID {
					free++
				}
			}
		}
		if got, most := free, maxShares*tc.daemons*requests/tc.endpoints; got > most {
			t.Errorf("%+v: got %d of %d requests at the endpoint that seems free, want %d at most", tc, got, tc.daemons*requests, most)
		}
	}
}

// Nearly all endpoints are full. A request must not be refused because the sample holds no endpoint
// that can answer in time: all endpoints are compared then.
func TestAllEndpointsAreComparedIfSampleIsFull(t *testing.T) {
	const endpoints, free = 100, 3
	var list []tracker.Endpoint
	var loads []sharer.Load
	for i := range endpoints {
		list = append(list, tracker.Endpoint{ID: fmt.Sprintf("e-%02d", i), Service: "s", Domain: "z", Slots: 16})
		if i >= free {
			loads = append(loads, sharer.Load{Endpoint: list[i].ID, Running: 16, PromptTokens: 200_000})
		}
	}
	c := New(Config{Domain: "z", IsLargeFleet: func() bool { return true }})
	c.SetPeerLoads("others", loads)
	const within = 600 * time.Millisecond
	for range 50 {
		ch, ok := c.Pick(Query{Service: "s", PromptTokens: 3000, MaxWait: within}, list)
		if !ok || ch.Wait > within {
			t.Fatalf("got endpoint %s with a wait of %s (%t), want one within %s", ch.Endpoint.ID, ch.Wait, ok, within)
		}
	}
}
