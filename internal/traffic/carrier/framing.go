package carrier

import "net/http"

// What marks the end of an answer.
const (
	framingLength = "length"
	framingChunks = "chunks"
	// framingClose is the end of the connection.
	framingClose = "close"
)

// framing returns what marks the end of an answer.
func framing(res *http.Response) string {
	switch {
	case len(res.TransferEncoding) > 0:
		return framingChunks
	case res.ContentLength >= 0 || res.Body == http.NoBody:
		return framingLength
	}
	return framingClose
}
