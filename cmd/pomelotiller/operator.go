package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"pomelotiller/internal/config/loader"
	"pomelotiller/internal/daemon/informer"
)

// operatorTimeout limits one call to the operator address of a daemon.
const operatorTimeout = 10 * time.Second

// operatorFlags holds the flags of the subcommands that call a daemon.
type operatorFlags struct {
	address string
	output  string
}

func (f *operatorFlags) register(cmd *cobra.Command) {
	cmd.Flags().StringVarP(&f.address, "address", "a", "127.0.0.1:8081", "operator address of any daemon")
	cmd.Flags().StringVarP(&f.output, "output", "o", "table", "form of the output: table or json")
}

// response is a successful HTTP response of a daemon.
type response struct {
	status int
	etag   string
	body   []byte
}

// refusedError reports that a daemon answered a call with an error document.
type refusedError struct {
	status int
	answer informer.ErrorBody
}

// Error returns the message of the daemon or, for a faulty configuration, its faults, one per line.
func (e *refusedError) Error() string {
	if len(e.answer.Faults) > 0 {
		return (&loader.FaultsError{Faults: e.answer.Faults}).Error()
	}
	return e.answer.Error
}

// call sends an HTTP request to the daemon, with match as its If-Match header if not empty.
// It returns a *refusedError if the daemon refuses the call.
func (f *operatorFlags) call(ctx context.Context, method, path string, body []byte, match string) (response, error) {
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+f.address+path, bytes.NewReader(body))
	if err != nil {
		return response{}, err
	}
	if match != "" {
		req.Header.Set("If-Match", match)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return response{}, fmt.Errorf("daemon %s does not answer: %w", f.address, err)
	}
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	if err != nil {
		return response{}, fmt.Errorf("daemon %s: %w", f.address, err)
	}
	if res.StatusCode >= http.StatusMultipleChoices {
		return response{}, newRefusedError(res.StatusCode, b)
	}
	return response{status: res.StatusCode, etag: strings.Trim(res.Header.Get("ETag"), `"`), body: b}, nil
}

// newRefusedError returns a *refusedError, or a plain error if body is not a JSON document.
func newRefusedError(status int, body []byte) error {
	e := &refusedError{status: status}
	if err := json.Unmarshal(body, &e.answer); err != nil {
		return fmt.Errorf("status %d: %s", status, bytes.TrimSpace(body))
	}
	return e
}

// printResult writes v as JSON, or as a table with a header and the rows that rows writes.
func (f *operatorFlags) printResult(w io.Writer, v any, header string, rows func(w io.Writer)) error {
	switch f.output {
	case "json":
		enc := json.NewEncoder(w)
		enc.SetIndent("", "  ")
		return enc.Encode(v)
	case "table":
		t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
		fmt.Fprintln(t, header)
		rows(t)
		return t.Flush()
	}
	return fmt.Errorf("output %q is not one of table, json", f.output)
}

// printText writes v as JSON if --output is json, and otherwise text unchanged.
func (f *operatorFlags) printText(w io.Writer, v any, text string) error {
	if f.output == "json" {
		return f.printResult(w, v, "", nil)
	}
	_, err := io.WriteString(w, text)
	return err
}

// getJSON gets a JSON document from the daemon and decodes it.
func getJSON[T any](ctx context.Context, f *operatorFlags, path string) (T, error) {
	var v T
	a, err := f.call(ctx, http.MethodGet, path, nil, "")
	if err != nil {
		return v, err
	}
	if err := json.Unmarshal(a.body, &v); err != nil {
		return v, fmt.Errorf("daemon %s: decode answer: %w", f.address, err)
	}
	return v, nil
}
