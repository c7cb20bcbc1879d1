package inferrer

import (
	"net/http"
	"testing"

	"pomelotiller/internal/standin/garbler"
)

// The load report and the cache events of an engine come without a length and are cut after each of their bytes.
// A cut one must not be taken for whole: an engine without load would get all requests.
func TestReportsCutAtEachByte(t *testing.T) {
	for _, tc := range []struct {
		name, report string
		call         func(c *Client) error
	}{
		{"load", `{"slots":4}`, func(c *Client) error {
			_, err := c.Load(t.Context())
			return err
		}},
		{"events", `[{"seq":1},{"seq":2}]`, func(c *Client) error {
			_, err := c.Events(t.Context(), 0)
			return err
		}},
	} {
		for cut := range len(tc.report) + 1 {
			l, err := garbler.Listen(func(*http.Request) string { return "HTTP/1.1 200 OK\r\n\r\n" + tc.report[:cut] })
			if err != nil {
				t.Fatal(err)
			}
			err = tc.call(NewClient(ClientConfig{Address: l.Addr().String()}))
			if isWhole := cut == len(tc.report); (err == nil) != isWhole {
				t.Errorf("%s cut after %d of %d bytes: got error %v, want it whole: %t", tc.name, cut, len(tc.report), err, isWhole)
			}
			l.Close()
		}
	}
}
