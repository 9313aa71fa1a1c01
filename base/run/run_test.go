package run

import (
	"context"
	"net/http"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/go-kratos/kratos/v2/transport"
	"github.com/juju/errors"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"go.uber.org/zap"

	"dandelionsill.org/wire/pb"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m, goleak.IgnoreAnyFunction("os/signal.loop"))
}

// resetReadiness resets the process-wide readiness before a test, because a stop is
// never reversed within one process.
func resetReadiness(t *testing.T) {
	ready.Store(false)
	stopping.Store(false)
	t.Cleanup(http.DefaultClient.CloseIdleConnections)
}

func getStatus(t *testing.T, url string) int {
	resp, err := http.Get(url)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	return resp.StatusCode
}

// blockingAgent blocks Explain until release is closed and keeps Watch streams open
// until the client ends them.
type blockingAgent struct {
	pb.UnimplementedAgentServer
	entered, release chan struct{}
}

func (a blockingAgent) Explain(context.Context, *pb.ExplainRequest) (*pb.ExplainReply, error) {
	close(a.entered)
	<-a.release
	return &pb.ExplainReply{}, nil
}

func (a blockingAgent) Watch(_ *pb.WatchRequest, stream pb.Agent_WatchServer) error {
	_ = stream.Send(&pb.AgentState{})
	<-stream.Context().Done()
	return nil
}

// The platform stops a VM (SIGTERM) while a call is in flight and a Watch stream is
// open. /readyz must fail at once, while the call still runs; the call must get its
// complete answer before the servers stop; the endless stream must not delay the
// stop; setup's ctx must end before Close returns; the exit code must be 0.
func TestStopDrainsFirst(t *testing.T) {
	resetReadiness(t)
	agent := blockingAgent{entered: make(chan struct{}), release: make(chan struct{})}
	grpcServer, httpServer := NewGRPC("127.0.0.1:0"), NewHTTP("127.0.0.1:0")
	pb.RegisterAgentServer(grpcServer, agent)
	started, drained := make(chan struct{}), make(chan struct{})
	var order []string
	code := make(chan int)
	go func() {
		code <- Main("test", func(ctx context.Context) (*Process, error) {
			return &Process{
				Servers: []transport.Server{grpcServer, httpServer},
				Logger:  zap.NewNop(),
				Ready: func(isReady bool) {
					SetReady(isReady)
					if isReady {
						close(started)
						return
					}
					order = append(order, "not ready")
				},
				Drain: func(ctx context.Context) error {
					order = append(order, "drain")
					<-drained
					return ctx.Err()
				},
				Close: func() {
					<-ctx.Done()
					order = append(order, "close")
				},
			}, nil
		})
	}()
	<-started
	endpoint, err := httpServer.Endpoint()
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, getStatus(t, endpoint.String()+"/readyz"))
	require.Equal(t, http.StatusOK, getStatus(t, endpoint.String()+"/debug/vars"))
	require.Equal(t, http.StatusNotFound, getStatus(t, endpoint.String()+"/nothing"))

	addr, err := grpcServer.Listen()
	require.NoError(t, err)
	conn, err := NewClient(addr.String())
	require.NoError(t, err)
	defer conn.Close()
	client := pb.NewAgentClient(conn)
	watch, err := client.Watch(context.Background(), &pb.WatchRequest{})
	require.NoError(t, err)
	_, err = watch.Recv()
	require.NoError(t, err)
	answered := make(chan error)
	go func() {
		_, err := client.Explain(context.Background(), &pb.ExplainRequest{})
		answered <- err
	}()
	<-agent.entered

	require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGTERM))
	require.Eventually(t, func() bool { return getStatus(t, endpoint.String()+"/readyz") == http.StatusServiceUnavailable }, 10*time.Second, time.Millisecond)
	require.Equal(t, http.StatusOK, getStatus(t, endpoint.String()+"/livez"))
	close(agent.release)
	require.NoError(t, <-answered)
	close(drained)
	require.Equal(t, exitOK, <-code)
	require.Equal(t, []string{"not ready", "drain", "close"}, order)
	_, err = watch.Recv()
	require.Error(t, err)
}

// If a request doesn't end within the drain timeout, the process must still stop,
// and its exit code must show that a request was interrupted.
func TestDrainTimeoutReturnsFailure(t *testing.T) {
	resetReadiness(t)
	code := Main("test", func(context.Context) (*Process, error) {
		return &Process{
			Servers:      []transport.Server{NewHTTP("127.0.0.1:0")},
			Logger:       zap.NewNop(),
			DrainTimeout: time.Millisecond,
			Ready: func(isReady bool) {
				if isReady {
					require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGTERM))
				}
			},
			Drain: func(ctx context.Context) error {
				<-ctx.Done()
				return ctx.Err()
			},
		}, nil
	})
	require.Equal(t, exitFailed, code)
}

// If setup fails, is interrupted by a signal, or a port is in use, Main must return
// a failure instead of running without a listener.
func TestFailedStart(t *testing.T) {
	resetReadiness(t)
	code := Main("test", func(ctx context.Context) (*Process, error) {
		require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGTERM))
		<-ctx.Done() // stands for a setup that waits for an unavailable platform; SIGTERM ends the wait
		return nil, ctx.Err()
	})
	require.Equal(t, exitFailed, code)
	taken := NewGRPC("127.0.0.1:0")
	addr, err := taken.Listen()
	require.NoError(t, err)
	defer taken.listener.Load().Close()
	require.Equal(t, exitFailed, Main("test", func(context.Context) (*Process, error) {
		return &Process{Servers: []transport.Server{NewGRPC(addr.String())}, Logger: zap.NewNop()}, nil
	}))
	require.Equal(t, exitFailed, Main("test", func(context.Context) (*Process, error) {
		return nil, errors.New("no manifest key")
	}))
}

// Guards against a stopped process that never exits. How it came about: Close waited
// for a goroutine that ends with setup's ctx, and the ctx was cancelled only after
// Close.
func TestCloseMayWaitForSetupsContext(t *testing.T) {
	resetReadiness(t)
	code := make(chan int)
	go func() {
		code <- Main("test", func(ctx context.Context) (*Process, error) {
			ended := make(chan struct{})
			go func() {
				<-ctx.Done()
				close(ended)
			}()
			return &Process{
				Servers: []transport.Server{NewHTTP("127.0.0.1:0")},
				Logger:  zap.NewNop(),
				Ready: func(isReady bool) {
					if isReady {
						_ = syscall.Kill(os.Getpid(), syscall.SIGTERM)
					}
				},
				Close: func() { <-ended },
			}, nil
		})
	}()
	select {
	case got := <-code:
		require.Zero(t, got)
	case <-time.After(10 * time.Second):
		t.Fatal("Main has not returned")
	}
}
