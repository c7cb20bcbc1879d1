package fetcher

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

func TestFetch(t *testing.T) {
	for _, tc := range []struct {
		name   string
		answer http.HandlerFunc
		want   error
		after  time.Duration
	}{
		{"found", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(`{"name":"chat/v1","bytes":7}`)) }, nil, 0},
		{"not there", http.NotFound, ErrNotFound, 0},
		{"broken", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusBadGateway) }, ErrUnavailable, 0},
		{"not JSON", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("<html>")) }, ErrUnavailable, 0},
		{"at its rate", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Retry-After", "2.5")
			w.WriteHeader(http.StatusTooManyRequests)
		}, nil, 2500 * time.Millisecond},
		{"at its rate, no time said", func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusTooManyRequests)
		}, nil, defaultRetryAfter},
	} {
		t.Run(tc.name, func(t *testing.T) {
			srv := httptest.NewServer(tc.answer)
			defer srv.Close()
			c := NewClient(ClientConfig{Address: strings.TrimPrefix(srv.URL, "http://")})
			w, err := c.Fetch(t.Context(), "chat/v1")
			var limit *LimitError
			if errors.As(err, &limit) {
				if limit.RetryAfter != tc.after {
					t.Errorf("got retry after %s, want %s", limit.RetryAfter, tc.after)
				}
				return
			}
			if !errors.Is(err, tc.want) || tc.after > 0 {
				t.Errorf("got error %v, want %v", err, tc.want)
			}
			if err == nil && w != (Weights{Name: "chat/v1", Bytes: 7}) {
				t.Errorf("got %+v, want the weights", w)
			}
		})
	}
}
