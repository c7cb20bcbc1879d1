package inferrer_test

import (
	"errors"
	"net/http/httptest"
	"os"
	"slices"
	"testing"
	"time"

	"pomelotiller/internal/remote/inferrer"
	"pomelotiller/internal/standin/generator"
)

// Environment variables with the address of an engine that is tested instead of the stand-in, a
// version that it can load and that nothing else uses, the weights of that version, and whether the
// engine checks fencing numbers ("true").
const (
	engineVariable  = "POMELOTILLER_ENGINE"
	versionVariable = "POMELOTILLER_ENGINE_VERSION"
	weightsVariable = "POMELOTILLER_ENGINE_WEIGHTS"
	fencingVariable = "POMELOTILLER_ENGINE_FENCING"
)

const loadTimeout = 5 * time.Minute

// TestOrdersContract checks what every engine must do: load and unload versions by order, ignore a
// repeated order, and refuse an old fencing number if and only if it checks them.
func TestOrdersContract(t *testing.T) {
	if address := os.Getenv(engineVariable); address != "" {
		checkOrders(t, address, os.Getenv(versionVariable), os.Getenv(weightsVariable), os.Getenv(fencingVariable) == "true")
		return
	}
	for _, fencing := range []bool{true, false} {
		srv := httptest.NewServer(generator.New(generator.Config{Fencing: fencing, LoadTime: 20 * time.Millisecond}).Handler())
		defer srv.Close()
		checkOrders(t, srv.Listener.Addr().String(), "chat-v2", "chat/v2", fencing)
	}
}

func checkOrders(t *testing.T, address, version, weights string, fencing bool) {
	t.Helper()
	c := inferrer.NewClient(inferrer.ClientConfig{Address: address})
	before, err := c.Load(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	fence := before.Fence + 10
	sendOrder := func(kind inferrer.OrderKind, fence uint64) error {
		return c.Order(t.Context(), inferrer.Order{Kind: kind, Version: version, Weights: weights, Fence: fence})
	}
	for _, step := range []struct {
		kind inferrer.OrderKind
		want bool
	}{
		{inferrer.OrderLoad, true},
		{inferrer.OrderLoad, true},
		{inferrer.OrderUnload, false},
		{inferrer.OrderUnload, false},
		{inferrer.OrderLoad, true},
	} {
		if err := sendOrder(step.kind, fence); err != nil {
			t.Fatalf("%s %s: %v", step.kind, version, err)
		}
		awaitLoaded(t, c, version, step.want)
	}
	err = sendOrder(inferrer.OrderUnload, fence-1)
	if fencing != errors.Is(err, inferrer.ErrFenced) || !fencing && err != nil {
		t.Errorf("got error %v for an old fencing number, want %v only if the engine checks it", err, inferrer.ErrFenced)
	}
	awaitLoaded(t, c, version, fencing)
	if l, err := c.Load(t.Context()); err != nil || fencing && l.Fence != fence {
		t.Errorf("got fence %d (%v), want %d", l.Fence, err, fence)
	}
}

// awaitLoaded waits until the engine, whose reports may lag, reports that the version is loaded, or
// that it is not, as wanted.
func awaitLoaded(t *testing.T, c *inferrer.Client, version string, want bool) {
	t.Helper()
	for deadline := time.Now().Add(loadTimeout); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if l, err := c.Load(t.Context()); err == nil && slices.Contains(l.Versions, version) == want {
			return
		}
	}
	t.Fatalf("version %q loaded is not %t within %s", version, want, loadTimeout)
}
