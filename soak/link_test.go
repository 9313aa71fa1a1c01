package soak

import (
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// linkFaults are the faults of a link; the zero value has none.
type linkFaults struct {
	delay        time.Duration
	dropUp       bool // discards bytes to the target
	dropDown     bool // discards bytes from the target
	resetOnBytes bool // resets a connection that carries bytes
}

// link is a TCP proxy on loopback in front of a target. It injects faults.
type link struct {
	name   string
	addr   string
	target string

	mu     sync.Mutex
	faults linkFaults
	conns  map[net.Conn]bool
}

func newLink(t *testing.T, name, target string) *link {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	k := &link{name: name, addr: l.Addr().String(), target: target, conns: map[net.Conn]bool{}}
	t.Cleanup(func() { _ = l.Close(); k.reset() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go k.serve(c)
		}
	}()
	return k
}

func (k *link) serve(c net.Conn) {
	up, err := net.Dial("tcp", k.target)
	if err != nil {
		_ = c.Close()
		return
	}
	k.mu.Lock()
	k.conns[c], k.conns[up] = true, true
	k.mu.Unlock()
	done := make(chan struct{}, 2)
	go func() { k.copy(up, c, true); done <- struct{}{} }()
	go func() { k.copy(c, up, false); done <- struct{}{} }()
	<-done
	_ = c.Close()
	_ = up.Close()
	<-done
	k.mu.Lock()
	delete(k.conns, c)
	delete(k.conns, up)
	k.mu.Unlock()
}

func (k *link) copy(to, from net.Conn, upward bool) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		faults := k.currentFaults()
		if faults.resetOnBytes {
			abort(to)
			abort(from)
			return
		}
		if faults.delay > 0 {
			time.Sleep(faults.delay) // the injected delay
		}
		if upward && faults.dropUp || !upward && faults.dropDown {
			continue
		}
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}

func (k *link) currentFaults() linkFaults {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.faults
}

func (k *link) setFaults(faults linkFaults) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.faults = faults
}

// reset closes all connections with a TCP reset.
func (k *link) reset() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for c := range k.conns {
		abort(c)
	}
}

func abort(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}
