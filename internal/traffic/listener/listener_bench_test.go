package listener

import (
	"bytes"
	"fmt"
	"net/http"
	"testing"

	"pomelotiller/internal/remote/inferrer"
	"pomelotiller/internal/traffic/relayer"
)

// endlessStream is an engine's answer that repeats the same event with increasing token
// numbers.
type endlessStream struct {
	id   string
	n    int
	rest bytes.Buffer
}

func (b *endlessStream) Read(p []byte) (int, error) {
	if b.rest.Len() == 0 {
		fmt.Fprintf(&b.rest, `data: {"id":%q,"object":"chat.completion.chunk","created":1764819000,"model":"chat-v1","token":%d,`+
			`"choices":[{"index":0,"delta":{"role":"assistant","content":"lamp "},"finish_reason":null}]}`+"\n\n", b.id, b.n)
		b.n++
	}
	return b.rest.Read(p)
}

func (b *endlessStream) Close() error { return nil }

// RoundTrip implements http.RoundTripper.
func (b *endlessStream) RoundTrip(r *http.Request) (*http.Response, error) {
	b.id = r.Header.Get(inferrer.HeaderRequest)
	return &http.Response{StatusCode: http.StatusOK, Body: b, Header: http.Header{
		inferrer.HeaderRequest: {b.id}, inferrer.HeaderAttempt: {r.Header.Get(inferrer.HeaderAttempt)},
	}}, nil
}

// discardWriter is a caller that reads and discards everything.
type discardWriter struct{ header http.Header }

func (w discardWriter) Header() http.Header         { return w.header }
func (w discardWriter) Write(b []byte) (int, error) { return len(b), nil }
func (w discardWriter) WriteHeader(int)             {}
func (w discardWriter) Flush()                      {}

// BenchmarkEvent measures the daemon's own work for one event of a stream, without the network.
func BenchmarkEvent(b *testing.B) {
	body := &endlessStream{}
	engine := inferrer.NewClient(inferrer.ClientConfig{Address: "engine", HTTP: &http.Client{Transport: body}})
	s, err := engine.Start(b.Context(), inferrer.Attempt{Request: "request", Number: 1, Path: inferrer.PathChat})
	if err != nil {
		b.Fatal(err)
	}
	defer s.Close()
	sink := newEventSink(discardWriter{make(http.Header)}, relayer.Job{})
	b.ReportAllocs()
	for b.Loop() {
		e, err := s.Next()
		if err != nil {
			b.Fatal(err)
		}
		if err := sink.Piece(e); err != nil {
			b.Fatal(err)
		}
		if err := sink.Flush(); err != nil {
			b.Fatal(err)
		}
	}
}
