package main

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestServePortInUse checks that a daemon exits and names the address if its port is in use.
func TestServePortInUse(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	path := filepath.Join(t.TempDir(), "settings.yaml")
	settings := fmt.Sprintf(`{name: a, domain: b, callers: %q, operators: "127.0.0.1:0", peers: "127.0.0.1:0", platform: "127.0.0.1:1",
  tls: {cert: none.pem, key: none.key, ca: none.pem}}`, ln.Addr())
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	code := runCommandLine([]string{"serve", "-c", path}, &out, &out)
	for _, want := range []string{"listen for callers", ln.Addr().String(), "address already in use"} {
		if code != exitFailed || !strings.Contains(out.String(), want) {
			t.Errorf("got exit code %d and %q, want %d and %q in it", code, out.String(), exitFailed, want)
		}
	}
}
