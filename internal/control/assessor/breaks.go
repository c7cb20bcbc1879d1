package assessor

import "time"

// breakDedupTime is how long further broken answers of one endpoint count as the same event, such as
// the crash of the endpoint.
const breakDedupTime = time.Second

// Breaks holds the time of the last broken answer of each endpoint that counted.
type Breaks map[string]time.Time

// IsRepeated reports whether an answer that an endpoint breaks off belongs to an event that has been
// counted: the answers in flight at an endpoint that crashes are one fault of it.
func (b Breaks) IsRepeated(endpoint string, now time.Time) bool {
	last, ok := b[endpoint]
	if ok && now.Sub(last) < breakDedupTime {
		return true
	}
	b[endpoint] = now
	return false
}
