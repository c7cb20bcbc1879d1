package carrier

import (
	"net/http"
	"net/textproto"
	"strings"
)

// connectionFields are the hop-by-hop header fields, with Content-Length, which is
// set anew for each message.
var connectionFields = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length",
}

// ConnectionFields returns the names of the header fields that must not be forwarded:
// the hop-by-hop fields and those listed in the Connection field.
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
