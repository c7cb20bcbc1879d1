package messenger

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"

	"github.com/quic-go/quic-go"
	"github.com/rcrowley/go-metrics"

	"pomelotiller/internal/observe/meter"
)

const (
	// maxHandshakes bounds the handshakes in flight that others have begun, since anyone on the network can begin one.
	// Peers that are refused try again.
	maxHandshakes = 256
	// unverifiedHandshakes is the number from which on others must first show that they receive at their address, so
	// that nobody fills the handshakes with spoofed addresses.
	unverifiedHandshakes = 32
)

var errTooManyHandshakes = errors.New("too many handshakes in flight")

// handshakes counts the handshakes in flight.
type handshakes struct {
	most, unverified int64
	inFlight         atomic.Int64
	refused          metrics.Counter
}

func newHandshakes(r metrics.Registry) *handshakes {
	h := &handshakes{most: maxHandshakes, unverified: unverifiedHandshakes, refused: metrics.NewCounter()}
	if r != nil {
		h.refused = metrics.GetOrRegisterCounter(meter.Name("peer_handshakes_refused_total"), r)
	}
	return h
}

type handshakeKey struct{}

// begin is the ConnContext hook of the transport. The handshake ends with the context or a call of end.
func (h *handshakes) begin(ctx context.Context, _ *quic.ClientInfo) (context.Context, error) {
	if h.inFlight.Add(1) > h.most {
		h.inFlight.Add(-1)
		h.refused.Inc(1)
		return nil, errTooManyHandshakes
	}
	end := sync.OnceFunc(func() { h.inFlight.Add(-1) })
	context.AfterFunc(ctx, end)
	return context.WithValue(ctx, handshakeKey{}, end), nil
}

// end ends the handshake of a connection.
func (h *handshakes) end(ctx context.Context) {
	if f, ok := ctx.Value(handshakeKey{}).(func()); ok {
		f()
	}
}

// mustVerify is the VerifySourceAddress hook of the transport.
func (h *handshakes) mustVerify(net.Addr) bool { return h.inFlight.Load() >= h.unverified }
