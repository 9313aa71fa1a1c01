// Package server is the agent process, which is responsible for one backend
// server. It serves pb.Agent and pb.Peer, reports its state to the entries that
// watch it, and leaves without interrupting running work.
package server

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"dandelionsill.org/agent/admission"
	"dandelionsill.org/agent/calls"
	"dandelionsill.org/base/explain"
	"dandelionsill.org/base/logs"
	"dandelionsill.org/confsync"
	"dandelionsill.org/platform"
	"dandelionsill.org/wire/pb"
)

// Generator serves the generation methods; agent/generate implements it.
type Generator interface {
	Generate(*pb.GenerateRequest, grpc.ServerStreamingServer[pb.GenerateReply]) error
	Held(*pb.HeldRequest, grpc.ServerStreamingServer[pb.HeldSample]) error
	ExportKV(context.Context, *pb.ExportKVRequest) (*pb.ExportKVReply, error)
	FetchWeights(*pb.FetchWeightsRequest, grpc.ServerStreamingServer[pb.WeightsPiece]) error
	// FillState sets the fields that only an engine's agent knows, and sets
	// Ready to false while no verified version is served.
	FillState(*pb.AgentState)
	// Drain waits until nothing is in flight. It returns ctx's error if ctx
	// ends first.
	Drain(ctx context.Context) error
}

// VMs is the platform's VM list as last read; confsync.VMWatcher implements it.
type VMs interface {
	VMs() []platform.VM
	Changed() <-chan struct{}
}

// Config configures an agent. Either Calls or Generator is set.
type Config struct {
	Settings  Settings
	Viewer    confsync.Viewer
	VMs       VMs
	Queue     *admission.Queue
	Calls     *calls.Handler
	Generator Generator
	// CaughtUp reports whether the agent has read everything it needs before
	// its first request; nil means yes.
	CaughtUp func() bool
	// SteppedDown is closed when another incarnation of this agent has claimed
	// the backend server; nil means never.
	SteppedDown <-chan struct{}
	// OnPublish is called with each new state; may be nil.
	OnPublish func(*pb.AgentState)
	Explain   *explain.Ring
	Logger    *zap.Logger
}

// Server serves pb.Agent and publishes the agent's state.
type Server struct {
	pb.UnimplementedAgentServer

	cfg           Config
	log           *zap.Logger
	incarnation   uint64
	health        *health
	stopping      atomic.Bool // set at SIGTERM and never reset
	leaveMu       sync.Mutex
	leaving       atomic.Bool  // written under leaveMu
	activeStreams atomic.Int64 // running streams, except Watch

	seq            uint64        // only for the goroutine of publish
	publishTrigger chan struct{} // requests a new state
	mu             sync.Mutex
	state          *pb.AgentState
	replaced       chan struct{} // closed when state is replaced
	// urgentlyReplaced is closed when state is replaced by a state that must be
	// sent at once.
	urgentlyReplaced chan struct{}
}

// New returns an agent that reports itself not ready until Run.
func New(cfg Config) *Server {
	if cfg.Logger == nil {
		cfg.Logger = zap.NewNop()
	}
	s := &Server{
		cfg:              cfg,
		log:              cfg.Logger,
		incarnation:      uint64(time.Now().UnixMilli()),
		publishTrigger:   make(chan struct{}, 1),
		replaced:         make(chan struct{}),
		urgentlyReplaced: make(chan struct{}),
	}
	s.health = newHealth(cfg.Settings.Backend, s.TriggerPublish, logs.Limited(cfg.Logger, checkLogInterval))
	cfg.Queue.OnChange(s.TriggerPublish)
	s.state = s.buildState()
	return s
}

// Incarnation returns the start time in ms since 1970.
func (s *Server) Incarnation() uint64 { return s.incarnation }

// Run watches the backend server, the manifest and the VM list, and publishes
// the agent's state, until ctx ends.
func (s *Server) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { s.health.run(ctx) })
	wg.Go(func() { s.followConfig(ctx) })
	wg.Go(func() { s.publish(ctx) })
	wg.Wait()
}

// Call serves one request to a plain service.
func (s *Server) Call(stream pb.Agent_CallServer) error {
	if s.cfg.Calls == nil {
		return status.Error(codes.Unimplemented, "this agent's backend server is an engine")
	}
	defer s.trackStream()()
	return s.cfg.Calls.Call(stream)
}

// Generate streams one completion or sample.
func (s *Server) Generate(req *pb.GenerateRequest, stream grpc.ServerStreamingServer[pb.GenerateReply]) error {
	if s.cfg.Generator == nil {
		return errNoEngine
	}
	defer s.trackStream()()
	return s.cfg.Generator.Generate(req, stream)
}

// Held returns finished samples that are still held.
func (s *Server) Held(req *pb.HeldRequest, stream grpc.ServerStreamingServer[pb.HeldSample]) error {
	if s.cfg.Generator == nil {
		return errNoEngine
	}
	defer s.trackStream()()
	return s.cfg.Generator.Held(req, stream)
}

// ExportKV transfers a stream's KV cache to another agent.
func (s *Server) ExportKV(ctx context.Context, req *pb.ExportKVRequest) (*pb.ExportKVReply, error) {
	if s.cfg.Generator == nil {
		return nil, errNoEngine
	}
	defer s.trackStream()()
	return s.cfg.Generator.ExportKV(ctx, req)
}

// FetchWeights relays a weight version to another agent.
func (s *Server) FetchWeights(req *pb.FetchWeightsRequest, stream grpc.ServerStreamingServer[pb.WeightsPiece]) error {
	if s.cfg.Generator == nil {
		return errNoEngine
	}
	defer s.trackStream()()
	return s.cfg.Generator.FetchWeights(req, stream)
}

// Explain returns the decision records about an id.
func (s *Server) Explain(_ context.Context, req *pb.ExplainRequest) (*pb.ExplainReply, error) {
	return &pb.ExplainReply{Decisions: s.cfg.Explain.Find(req.Id)}, nil
}

// trackStream counts a running stream until the returned function is called.
func (s *Server) trackStream() (done func()) {
	s.activeStreams.Add(1)
	return func() { s.activeStreams.Add(-1) }
}

var errNoEngine = status.Error(codes.Unimplemented, "this agent's backend server is a plain service")
