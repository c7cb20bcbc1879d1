package messenger

import (
	"context"
	"net"
	"syscall"
	"testing"
	"time"

	"pomelotiller/internal/standin/certifier"
)

// BenchmarkConnect measures the processor time of both ends of a handshake, and of an attempt at an
// address where nothing answers until handshakeTimeout.
func BenchmarkConnect(b *testing.B) {
	a, err := certifier.New(b.TempDir())
	if err != nil {
		b.Fatal(err)
	}
	from, to := startBenchmarkPeer(b, a, "a"), startBenchmarkPeer(b, a, "b")
	silent, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { silent.Close() })
	for _, tc := range []struct {
		name, addr string
		fails      bool
	}{{"answered", to.Address(), false}, {"silent", silent.LocalAddr().String(), true}} {
		b.Run(tc.name, func(b *testing.B) {
			before := processorTime(b)
			for b.Loop() {
				if err := from.SendDatagram(b.Context(), tc.addr, "note", nil); (err != nil) != tc.fails {
					b.Fatalf("got error %v", err)
				}
				from.CloseConn(tc.addr)
			}
			b.ReportMetric(float64((processorTime(b)-before).Microseconds())/float64(b.N), "cpu-us/op")
		})
	}
}

func startBenchmarkPeer(b *testing.B, a *certifier.Authority, name string) *Messenger {
	f, err := a.IssueWith(name, certifier.Options{})
	if err != nil {
		b.Fatal(err)
	}
	m, err := New(Config{Listen: "127.0.0.1:0", Cert: f.Cert, Key: f.Key, CA: f.CA})
	if err != nil {
		b.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- m.Run(ctx) }()
	b.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			b.Errorf("run: %v", err)
		}
	})
	return m
}

// processorTime returns the processor time that this process has used.
func processorTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
