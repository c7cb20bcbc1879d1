package carrier

import (
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// identify returns a key that is the same for requests that are the same: of one organisation, with the same
// method, host, target and body. The id is that of an attempt of the caller and differs each time.
func (q *request) identify() string {
	d := xxhash.New()
	for _, part := range []string{q.org.Name, q.method, strings.ToLower(q.host), q.target} {
		// A digest accepts all writes. The length keeps the parts apart.
		_, _ = fmt.Fprintf(d, "%d:%s", len(part), part)
	}
	_, _ = d.Write(q.body)
	return fmt.Sprintf("%016x", d.Sum64())
}
