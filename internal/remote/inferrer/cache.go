package inferrer

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
)

// Export implements Engine.
func (c *Client) Export(ctx context.Context, request string) (io.ReadCloser, error) {
	res, err := c.send(ctx, http.MethodGet, "/kv/"+url.PathEscape(request), nil)
	if err != nil {
		return nil, err
	}
	switch {
	case res.StatusCode != http.StatusOK:
		err = statusError(res)
	case !IsFramed(res):
		err = fmt.Errorf("%w: the end of the cache is not marked", ErrTruncated)
	default:
		return res.Body, nil
	}
	res.Body.Close()
	return nil, err
}

// Import implements Engine. Only ctx bounds its duration, since a cache may take longer to send than
// CallTimeout. An engine that knows from the cache itself where it ends may answer before all of the request was
// sent, so that its answer counts as soon as it is whole.
func (c *Client) Import(ctx context.Context, request string, cache io.Reader) error {
	res, err := c.send(ctx, http.MethodPut, "/kv/"+url.PathEscape(request), cache)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if _, err := io.Copy(io.Discard, io.LimitReader(res.Body, maxReportBytes)); err != nil {
		return fmt.Errorf("%w: import cache of %q: %w", ErrTruncated, request, err)
	}
	return nil
}
