package bounder

import "net"

// Listen returns a listener whose connections are bounded. When there are too many, the one that has been idle or
// stalled for the longest is closed. If there is none, the new one is closed.
func (b *Bounder) Listen(l net.Listener) net.Listener { return &listener{l, b} }

type listener struct {
	net.Listener
	bounder *Bounder
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.bounder.newConn(inner); c.open() == nil {
			return c, nil
		}
	}
}
