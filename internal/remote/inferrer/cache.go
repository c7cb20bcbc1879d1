package inferrer

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
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
// CallTimeout. An answer counts only once the whole cache was sent, since an engine may answer before it has read it.
func (c *Client) Import(ctx context.Context, request string, cache io.Reader) error {
	// sent is how the last write of the request ended: net/http writes it again if a kept connection took nothing of it.
	sent := make(chan error, 1)
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{WroteRequest: func(i httptrace.WroteRequestInfo) {
		replace(sent, i.Err)
	}})
	res, err := c.send(ctx, http.MethodPut, "/kv/"+url.PathEscape(request), cache)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	select {
	case err = <-sent:
	case <-ctx.Done():
		err = ctx.Err()
	}
	if err != nil {
		return fmt.Errorf("import cache of %q: answer before the cache was sent: %w", request, err)
	}
	return nil
}

// replace puts v into a channel with room for one value, in place of the one that it may hold.
func replace[T any](c chan T, v T) {
	select {
	case <-c:
	default:
	}
	select {
	case c <- v:
	default:
	}
}
