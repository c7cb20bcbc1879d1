package carrier

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"net/http"

	"pomelotiller/internal/remote/rationer"
)

// maxForeignAnswers bounds the answers to other requests that an attempt discards on its connection before it
// fails.
const maxForeignAnswers = 3

// readHeader reads the header of the answer to the request. It discards answers to
// other requests that arrive first on the connection.
func (a *answer) readHeader(q *request) error {
	req := &http.Request{Method: q.method}
	for range maxForeignAnswers {
		a.conn.LimitReads(rationer.MaxHeaderBytes)
		res, err := a.readResponse(req)
		a.conn.LimitReads(-1)
		if err != nil {
			return err
		}
		v := a.c.cfg.Codec.ParseVerdict(q.Call, res)
		if !v.Foreign {
			a.res, a.verdict = res, v
			return nil
		}
		a.c.logForeignAnswer(q, a, res.StatusCode)
		if n, err := io.Copy(io.Discard, io.LimitReader(res.Body, maxBufferedAnswerBytes+1)); err != nil || n > maxBufferedAnswerBytes {
			return fmt.Errorf("discard the answer to another request: %d bytes: %w", n, cmp.Or(err, rationer.ErrTooLarge))
		}
		if res.Close {
			return errors.New("endpoint closed the connection after an answer to another request")
		}
	}
	return errors.New("too many answers to other requests")
}

// readResponse reads the header of a final answer and skips interim (1xx) ones. It
// marks the endpoint as leaving if any of their headers says so.
func (a *answer) readResponse(req *http.Request) (*http.Response, error) {
	for {
		res, err := a.conn.ReadResponse(req)
		if err != nil {
			return nil, err
		}
		e := a.choice.Endpoint
		if res.StatusCode != http.StatusMisdirectedRequest && a.c.cfg.Codec.IsLeaving(res.Header) {
			a.c.cfg.MarkLeaving(e.ID, e.Born, "its answer says so")
		}
		if res.StatusCode >= http.StatusOK {
			return res, nil
		}
	}
}
