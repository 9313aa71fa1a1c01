package confsync

import (
	"context"
	"net"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"

	"dandelionsill.org/wire/pb"
)

// serveKeeper serves a Keeper's Exchange on a real listener and returns its
// address.
func serveKeeper(t testing.TB, k *Keeper) string {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	lis = &countingListener{Listener: lis}
	srv := grpc.NewServer()
	pb.RegisterPeerServer(srv, k)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = srv.Serve(lis)
	}()
	t.Cleanup(func() { srv.Stop(); <-done })
	return lis.Addr().String()
}

// countingListener adds to wireBytes the bytes read and written on its
// connections, without TCP overhead.
type countingListener struct{ net.Listener }

var wireBytes atomic.Int64

func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return countingConn{c}, err
}

type countingConn struct{ net.Conn }

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	wireBytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	wireBytes.Add(int64(n))
	return n, err
}

// newIdleKeeper returns a Keeper that does not run.
func newIdleKeeper(t testing.TB) *Keeper {
	k, err := New(Config{Name: "k", Log: newFakeLog().client("k"), Keys: testKeys})
	require.NoError(t, err)
	t.Cleanup(k.peers.Close)
	return k
}

// A process that exchanges with more and more peers keeps few connections.
// Exchanges work both over a kept connection and over one that is opened again.
func TestConnectionsAreBounded(t *testing.T) {
	k := newIdleKeeper(t)
	c := newExchangeConns()
	defer c.Close()
	var addrs []string
	for range 2 * maxConns {
		addrs = append(addrs, serveKeeper(t, k))
	}
	for _, addr := range append(addrs, addrs...) {
		reply, err := c.exchange(context.Background(), addr, &pb.ExchangeRequest{Name: "x"})
		require.NoError(t, err)
		require.Equal(t, "k", reply.Name)
		require.LessOrEqual(t, c.byLastUse.Len(), maxConns)
		require.Len(t, c.byAddr, c.byLastUse.Len())
	}
	c.Close()
	_, err := c.exchange(context.Background(), addrs[0], &pb.ExchangeRequest{})
	require.Error(t, err)
}

func TestNewRequiresLogAndKeys(t *testing.T) {
	_, err := New(Config{Log: newFakeLog().client("k")})
	require.ErrorContains(t, err, "public key")
	_, err = New(Config{Keys: testKeys})
	require.ErrorContains(t, err, "log")
}
