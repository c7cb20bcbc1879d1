package verifier

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"pomelotiller/internal/remote/inferrer"
	"pomelotiller/internal/standin/faulter"
	"pomelotiller/internal/standin/reserver"
	"pomelotiller/internal/standin/servicer"
	"pomelotiller/internal/traffic/recorder"
	"pomelotiller/internal/traffic/refuser"
)

const orderSendTimeout = 500 * time.Millisecond

// sendOrder connects and sends one order with a body of 64 KB.
func sendOrder(ctx context.Context, address string) error {
	s, err := recorder.HTTPServices{}.Connect(ctx, address)
	if err != nil {
		return err
	}
	defer s.Close()
	_, err = s.Send(ctx, recorder.Order{
		ID: "order", Key: "key", Attempt: 1,
		Request: recorder.Request{Method: http.MethodPost, Path: "/orders", Body: bytes.Repeat([]byte("x"), 64<<10)},
	}, nil)
	return err
}

// TestOrderRunStateOfEachFault checks which run state a send reports for each fault of the connection:
// ran, or unknown. A failed TLS handshake is no case since connections to services do not use TLS; it
// would count as a failed dial.
func TestOrderRunStateOfEachFault(t *testing.T) {
	for _, tc := range []struct {
		name  string
		fault faulter.Behaviour
		want  refuser.RunState
		runs  int
	}{
		{"reset before the header", faulter.Behaviour{Mode: faulter.ModeReset}, refuser.Unknown, 0},
		{"reset in the header", faulter.Behaviour{Mode: faulter.ModeReset, Bytes: 30}, refuser.Unknown, 0},
		{"reset in the body", faulter.Behaviour{Mode: faulter.ModeReset, Bytes: 20 << 10}, refuser.Unknown, 0},
		{"cut after the body, before the answer", faulter.Behaviour{Mode: faulter.ModeTruncate}, refuser.Unknown, 1},
		{"cut in the answer's header", faulter.Behaviour{Mode: faulter.ModeTruncate, Bytes: 40}, refuser.Unknown, 1},
		{"cut in the answer's body", faulter.Behaviour{Mode: faulter.ModeTruncate, Bytes: 30 << 10}, refuser.Unknown, 1},
		{"silent", faulter.Behaviour{Mode: faulter.ModeBlackhole}, refuser.Unknown, 0},
		{"none", faulter.Behaviour{Mode: faulter.ModePass}, refuser.Ran, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			service := servicer.New(servicer.Config{})
			srv := httptest.NewServer(service.Handler())
			defer srv.Close()
			ctx, cancel := context.WithTimeout(t.Context(), orderSendTimeout)
			defer cancel()
			link, err := faulter.Open(ctx, faulter.Config{Network: "tcp", Listen: "127.0.0.1:0", Target: srv.Listener.Addr().String()})
			if err != nil {
				t.Fatal(err)
			}
			link.Set(tc.fault)
			got := runStateOf(t, sendOrder(ctx, link.Address()))
			if got != tc.want {
				t.Errorf("got run state %s, want %s", got, tc.want)
			}
			if n := service.Runs()["key"]; n != tc.runs {
				t.Errorf("got %d runs, want %d", n, tc.runs)
			}
		})
	}
}

func runStateOf(t *testing.T, err error) refuser.RunState {
	t.Helper()
	var sendErr *recorder.SendError
	switch {
	case err == nil:
		return refuser.Ran
	case !errors.As(err, &sendErr):
		t.Fatalf("got error %v, want a SendError", err)
	}
	return sendErr.RunState
}

// TestOrderNotRunBeforeTheFirstByte checks that an order counts as not run if no byte of it was sent:
// the dial is refused, or the context ends before the send.
func TestOrderNotRunBeforeTheFirstByte(t *testing.T) {
	if got := runStateOf(t, sendOrder(t.Context(), reserver.MustAddress(t))); got != refuser.NotRun {
		t.Errorf("got run state %s after a refused dial, want not-run", got)
	}
	service := servicer.New(servicer.Config{})
	srv := httptest.NewServer(service.Handler())
	defer srv.Close()
	s, err := recorder.Connect(t.Context(), srv.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err = s.Send(ctx, recorder.Order{ID: "order", Key: "key", Request: recorder.Request{Method: http.MethodPost, Path: "/"}}, nil)
	if got := runStateOf(t, err); got != refuser.NotRun {
		t.Errorf("got run state %s after the context ended, want not-run", got)
	}
	if n := service.Runs()["key"]; n != 0 {
		t.Errorf("got %d runs, want 0", n)
	}
}

// abortingServer counts requests as runs. It closes the connection of the second request without
// an answer.
type abortingServer struct{ runs int }

// ServeHTTP implements http.Handler.
func (f *abortingServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	// A failed read needs no check: the test would see it in the number of runs.
	_, _ = io.Copy(io.Discard, r.Body)
	f.runs++
	if f.runs == 2 {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(inferrer.HeaderRequest, r.Header.Get(inferrer.HeaderRequest))
	w.Header().Set(inferrer.HeaderAttempt, r.Header.Get(inferrer.HeaderAttempt))
}

// TestOrderSilentReplay guards against hidden retries: net/http repeats a request that has an
// Idempotency-Key when a reused connection breaks, so a plain client runs an order twice.
func TestOrderSilentReplay(t *testing.T) {
	sendPlain := func(address string) error {
		req, err := http.NewRequest(http.MethodPost, "http://"+address+"/orders", bytes.NewReader([]byte("lamps")))
		if err != nil {
			return err
		}
		req.Header.Set("Idempotency-Key", "key")
		res, err := http.DefaultClient.Do(req)
		if err != nil {
			return err
		}
		defer res.Body.Close()
		_, err = io.Copy(io.Discard, res.Body)
		return err
	}
	for _, tc := range []struct {
		name   string
		send   func(address string) error
		failed bool
		// want is the number of runs after two orders were sent.
		want int
	}{
		{"plain client", sendPlain, false, 3},
		{"recorder", func(address string) error { return sendOrder(t.Context(), address) }, true, 2},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := &abortingServer{}
			srv := httptest.NewServer(f)
			defer srv.Close()
			address := srv.Listener.Addr().String()
			if err := tc.send(address); err != nil {
				t.Fatalf("first order: %v", err)
			}
			if err := tc.send(address); (err != nil) != tc.failed {
				t.Errorf("got error %v for the second order, want an error: %t", err, tc.failed)
			}
			if f.runs != tc.want {
				t.Errorf("got %d runs of 2 orders, want %d", f.runs, tc.want)
			}
		})
	}
}
