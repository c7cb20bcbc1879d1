package validator

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
)

// Transport is an http.RoundTripper whose connections check the answers. Use NewTransport to create one.
type Transport struct {
	base *http.Transport
}

// NewTransport returns a transport with the settings of base, which must not be used for TLS.
func NewTransport(base *http.Transport) *Transport {
	dial := base.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	base = base.Clone()
	base.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return NewConn(c), nil
	}
	return &Transport{base}
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	// WithClientTrace changes the trace that it gets, so each request needs one of its own.
	trace := &httptrace.ClientTrace{GotConn: expectAnswer}
	return t.base.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
}

// CloseIdleConnections closes the idle connections, also if called by an http.Client.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }

// expectAnswer has a connection expect an answer as it is taken for a request. A fault is reported by the read.
func expectAnswer(i httptrace.GotConnInfo) {
	if c, ok := i.Conn.(*Conn); ok {
		_ = c.ExpectAnswer(nil)
	}
}
