// Package informer serves operators over HTTP: configuration, members, moves,
// orders, metrics and drain.
package informer

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/go-chi/chi/v5"
	"github.com/go-chi/chi/v5/middleware"
	"github.com/rcrowley/go-metrics"

	"pomelotiller/internal/config/checker"
	"pomelotiller/internal/config/loader"
	"pomelotiller/internal/control/evacuator"
	"pomelotiller/internal/control/publisher"
	"pomelotiller/internal/fleet/viewer"
	"pomelotiller/internal/observe/meter"
	"pomelotiller/internal/remote/storer"
	"pomelotiller/internal/traffic/recorder"
)

// maxConfigBytes is the maximum size of a configuration in a request.
const maxConfigBytes = 2 << 20

// Config configures an Informer.
type Config struct {
	// View returns the current view.
	View func() viewer.View
	// Current returns the release in force at this daemon.
	Current    func() publisher.Release
	Publisher  *publisher.Publisher
	Recorder   *recorder.Recorder
	MoveLister MoveLister
	Evacuator  *evacuator.Evacuator
	// Drain starts a planned stop.
	Drain    func()
	Registry metrics.Registry
}

// Informer is the HTTP interface for operators of one daemon.
type Informer struct {
	cfg Config
}

// New returns an Informer.
func New(cfg Config) *Informer { return &Informer{cfg: cfg} }

// ErrorBody is the body of the answer to a refused request.
type ErrorBody struct {
	Error string `json:"error"`
	// Faults are the errors in a configuration.
	Faults []loader.Fault `json:"faults,omitempty"`
	// Generation and Text are the current configuration, if a publish conflicts with it.
	Generation uint64 `json:"generation,omitempty"`
	Text       string `json:"text,omitempty"`
}

// PublishResult is the body of the answer to a publish that succeeded.
type PublishResult struct {
	Generation uint64 `json:"generation"`
}

// Handler returns the HTTP handler for operators.
func (i *Informer) Handler() http.Handler {
	r := chi.NewRouter()
	r.Get("/config", i.serveConfig)
	r.Put("/config", i.servePublish)
	r.Get("/config/status", i.serveStatus)
	r.Post("/config/check", i.serveCheck)
	r.Get("/members", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, i.cfg.View().Members) })
	r.Get("/endpoints", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, i.cfg.View().Endpoints) })
	r.Get("/moves", i.serveMoves)
	r.Get("/evacuations", i.serveEvacuations)
	r.Put("/evacuations/{domain}", i.serveChange(i.cfg.Evacuator.Request))
	r.Delete("/evacuations/{domain}", i.serveChange(i.cfg.Evacuator.Withdraw))
	r.Get("/orders/{id}", i.serveOrder)
	r.Post("/drain", func(w http.ResponseWriter, _ *http.Request) {
		i.cfg.Drain()
		w.WriteHeader(http.StatusAccepted)
	})
	r.Method(http.MethodGet, "/metrics", meter.Handler(i.cfg.Registry))
	r.Mount("/debug", middleware.Profiler())
	return r
}

// writeJSON answers with a status code and a value as JSON.
func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// Encode fails only if the connection is broken, so the error cannot be reported.
	_ = json.NewEncoder(w).Encode(v)
}

// writeError answers a failed request with an ErrorBody and the status code for err.
func writeError(w http.ResponseWriter, err error) {
	body := ErrorBody{Error: err.Error()}
	status := http.StatusServiceUnavailable
	var faults *loader.FaultsError
	var conflict *publisher.ConflictError
	var unknownDomain *evacuator.UnknownDomainError
	switch {
	case errors.As(err, &unknownDomain):
		status = http.StatusUnprocessableEntity
	case errors.As(err, &faults):
		status, body.Faults = http.StatusUnprocessableEntity, faults.Faults
	case errors.As(err, &conflict):
		status, body.Generation, body.Text = http.StatusPreconditionFailed, conflict.HighestGeneration, string(conflict.Current.Text)
	case errors.Is(err, storer.ErrNotFound):
		status = http.StatusNotFound
	}
	writeJSON(w, status, body)
}

// serveConfig answers with the text of the configuration in force, and its generation as ETag.
func (i *Informer) serveConfig(w http.ResponseWriter, _ *http.Request) {
	r := i.cfg.Current()
	w.Header().Set("ETag", fmt.Sprintf("%q", strconv.FormatUint(r.Generation, 10)))
	w.Header().Set("Content-Type", "application/yaml")
	// Write fails only if the connection is broken, so the error cannot be reported.
	_, _ = w.Write(r.Text)
}

// servePublish publishes the configuration in the body if the generation in If-Match is the current
// one.
func (i *Informer) servePublish(w http.ResponseWriter, r *http.Request) {
	want, err := parseIfMatch(r.Header.Get("If-Match"))
	if err != nil {
		writeJSON(w, http.StatusBadRequest, ErrorBody{Error: err.Error()})
		return
	}
	text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxConfigBytes))
	if err != nil {
		writeJSON(w, http.StatusRequestEntityTooLarge, ErrorBody{Error: err.Error()})
		return
	}
	release, err := i.cfg.Publisher.Publish(r.Context(), text, want, i.cfg.Current().Generation)
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, PublishResult{Generation: release.Generation})
}

// parseIfMatch returns the generation in an If-Match header.
func parseIfMatch(v string) (uint64, error) {
	n, err := strconv.ParseUint(strings.Trim(v, `"`), 10, 64)
	if err != nil {
		return 0, fmt.Errorf("If-Match %q is not a generation; want the number that GET /config gives as ETag, 0 for the first publish", v)
	}
	return n, nil
}

// serveCheck checks the configuration in the body and does not publish it.
func (i *Informer) serveCheck(w http.ResponseWriter, r *http.Request) {
	text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxConfigBytes))
	if err != nil {
		writeJSON(w, http.StatusRequestEntityTooLarge, ErrorBody{Error: err.Error()})
		return
	}
	if _, err := checker.Check(text); err != nil {
		writeError(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// serveOrder answers with the stored record of an order.
func (i *Informer) serveOrder(w http.ResponseWriter, r *http.Request) {
	o, err := i.cfg.Recorder.Get(r.Context(), chi.URLParam(r, "id"))
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, o)
}
