package capacity

import (
	"fmt"
	"net"
	"runtime"
	"sync/atomic"
	"syscall"
	"time"
)

// CPUTime returns the processor time that this process has used so far, user
// and system.
func CPUTime() (time.Duration, error) {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0, fmt.Errorf("getrusage: %w", err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano()), nil
}

// LiveBytes returns the heap and stack memory that is in use after a garbage
// collection.
func LiveBytes() uint64 {
	runtime.GC()
	runtime.GC() // the first one only queues finalizers and moves the pools to their victim caches
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}

// Traffic counts the bytes of a listener's connections. In counts what clients sent,
// Out what they received.
type Traffic struct{ In, Out atomic.Int64 }

// Total returns the bytes of both directions.
func (t *Traffic) Total() int64 { return t.In.Load() + t.Out.Load() }

// Listen wraps a listener so that the bytes of its connections are counted.
func (t *Traffic) Listen(l net.Listener) net.Listener { return listener{l, t} }

type listener struct {
	net.Listener
	traffic *Traffic
}

func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return conn{c, l.traffic}, nil
}

type conn struct {
	net.Conn
	traffic *Traffic
}

func (c conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.traffic.In.Add(int64(n))
	return n, err
}

func (c conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.traffic.Out.Add(int64(n))
	return n, err
}
