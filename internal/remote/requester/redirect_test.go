package requester

import (
	"net/http"
	"net/http/httptest"
	"testing"
)

// A service answers with a redirect. The call must not be sent again to an address that the settings do not name.
func TestRedirectIsNotFollowed(t *testing.T) {
	other := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		t.Errorf("got %s %s sent to another address", r.Method, r.URL.Path)
	}))
	defer other.Close()
	srv := httptest.NewServer(http.RedirectHandler(other.URL+"/x", http.StatusTemporaryRedirect))
	defer srv.Close()
	c := New(Config{Address: srv.Listener.Addr().String()})
	a, err := c.Call(t.Context(), http.MethodPost, "/x", map[string]int{"window_id": 1})
	if err != nil || a.Status != http.StatusTemporaryRedirect {
		t.Errorf("got status %d (%v), want %d", a.Status, err, http.StatusTemporaryRedirect)
	}
}
