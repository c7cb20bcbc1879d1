package storer

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"time"

	"pomelotiller/internal/standin/garbler"
)

// The answers of the service have neither a length nor chunks and are cut after each of their bytes, as by a process
// that is killed. A cut one must not be taken for an entry, a list or a lease, however little is left.
func TestAnswersCutAtEachByte(t *testing.T) {
	for _, tc := range []struct {
		name, answer string
		call         func(ctx context.Context, c *Client) error
	}{
		{"get", `{"key":"k","revision":7}`, func(ctx context.Context, c *Client) error {
			_, err := c.Get(ctx, "k")
			return err
		}},
		{"list", `{"entries":[],"revision":7}`, func(ctx context.Context, c *Client) error {
			_, err := c.List(ctx, "k")
			return err
		}},
		{"watch", `{"entries":[],"revision":7}`, func(ctx context.Context, c *Client) error {
			_, err := c.Watch(ctx, "k", 1)
			return err
		}},
		{"swap", `{"key":"k","revision":7}`, func(ctx context.Context, c *Client) error {
			_, err := c.Swap(ctx, Write{Key: "k", ID: "w"})
			return err
		}},
		{"grant", `{"id":"l","ttl":1000000000}`, func(ctx context.Context, c *Client) error {
			_, err := c.Grant(ctx, time.Second)
			return err
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			for cut := range len(tc.answer) + 1 {
				l, err := garbler.Listen(func(*http.Request) string { return "HTTP/1.1 200 OK\r\n\r\n" + tc.answer[:cut] })
				if err != nil {
					t.Fatal(err)
				}
				c := NewClient(ClientConfig{Address: l.Addr().String(), Attempts: 1})
				isWhole := cut == len(tc.answer)
				if err := tc.call(t.Context(), c); (err == nil) != isWhole || !isWhole && !errors.Is(err, ErrUnavailable) {
					t.Errorf("cut after %d of %d bytes: got error %v, want it whole: %t", cut, len(tc.answer), err, isWhole)
				}
				l.Close()
			}
		})
	}
}
