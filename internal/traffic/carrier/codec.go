package carrier

import (
	"net/http"
	"time"

	"pomelotiller/internal/traffic/chooser"
	"pomelotiller/internal/traffic/throttler"
)

// Call holds what a Codec reads from the header of a caller's request.
type Call struct {
	// ID is the request id that the caller chose for this attempt.
	ID string
	// Deadline is how long the caller waits; 0 if the request does not say.
	Deadline time.Duration
	// Key is the API key of the caller's organisation; empty if there is none.
	Key string
	// Prompt is the number of prompt tokens, Output the largest number of tokens to
	// generate.
	Prompt, Output int
	// Sized says whether the caller stated the token counts.
	Sized bool
	// Parts are the blocks of the prompt, which other requests may share.
	Parts []chooser.PromptBlock
	// LastEvent is the id of the last event that the caller received of a stream
	// that it resumes.
	LastEvent string
	// Header holds the header fields to forward to the endpoint.
	Header http.Header
}

// Grant holds what the daemon adds to the header of a request to one endpoint.
type Grant struct {
	// TimeLeft is the time left until the caller's deadline; 0 is no bound.
	TimeLeft time.Duration
	// Organisation is the name of the organisation that holds the caller's key.
	Organisation string
	// Instance is the id of the endpoint that must answer. A different endpoint at the
	// same address must refuse the request.
	Instance string
	// LastEvent is the id of the last event sent to the caller; the endpoint resumes
	// the stream after it.
	LastEvent string
	// Priority is the request's priority at the endpoint, 0 the most urgent; nil sends none.
	Priority *int
}

// Verdict holds what the header of an answer says about the request and the
// endpoint.
type Verdict struct {
	// Foreign says that the answer belongs to another request.
	Foreign bool
	// Unnamed says that the answer does not name the request that it belongs to.
	Unnamed bool
	// NotRun says that the endpoint did not and will not run the request.
	NotRun bool
	// Misdirected says that another endpoint now has the address.
	Misdirected bool
	// RetryAfter is how long the endpoint asks this daemon to send no requests; 0 if it
	// does not ask.
	RetryAfter time.Duration
	// Idle is how long the endpoint keeps an idle connection; 0 if unstated.
	Idle time.Duration
	// Limit is what the endpoint says of the requests that it takes from all daemons.
	Limit throttler.Limit
}

// Codec reads and writes the header fields that callers and endpoints use.
type Codec interface {
	// Decode reads the header of a caller's request.
	Decode(r *http.Request) (Call, error)
	// Encode returns the header of the request to an endpoint.
	Encode(c Call, g Grant) http.Header
	// ParseVerdict reads the verdict from the header and status of an endpoint's answer.
	ParseVerdict(c Call, res *http.Response) Verdict
	// IsLeaving reports whether the header of a final or interim answer says that its
	// endpoint is leaving.
	IsLeaving(h http.Header) bool
	// RetryAfter formats d as the value of a Retry-After header field.
	RetryAfter(d time.Duration) string
}
