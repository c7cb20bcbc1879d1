package carrier

import (
	"net/http"
	"net/textproto"
	"strings"
)

// connectionFields are the header fields that concern one connection only.
var connectionFields = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length",
}

// ConnectionFields returns the names of the fields of a header that concern one
// connection only, those that its Connection field names too.
func ConnectionFields(h http.Header) map[string]bool {
	drop := make(map[string]bool, len(connectionFields))
	for _, name := range connectionFields {
		drop[name] = true
	}
	for _, v := range h["Connection"] {
		for name := range strings.SplitSeq(v, ",") {
			drop[textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return drop
}
