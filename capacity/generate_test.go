package capacity

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"

	"dandelionsill.org/agent/admission"
	"dandelionsill.org/agent/generate"
	"dandelionsill.org/agent/held"
	"dandelionsill.org/agent/weights"
	"dandelionsill.org/base/run"
	"dandelionsill.org/confsync"
	"dandelionsill.org/manifest"
	"dandelionsill.org/platform"
	"dandelionsill.org/wire/pb"
)

// chunksPerStream is high enough that the costs of opening and closing a stream are
// negligible.
const chunksPerStream = 512

// unpacedEngine is an engine that serves one version. Its streams generate chunks as
// fast as they are read.
type unpacedEngine struct {
	platform.Engine // nil: methods that the agent does not call here panic
	tokens          int
	mu              sync.Mutex
	state           platform.EngineState
}

func (e *unpacedEngine) State(context.Context) (platform.EngineState, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.state, nil
}

func (e *unpacedEngine) LoadWeights(_ context.Context, info platform.WeightInfo, data io.Reader, token uint64) error {
	if _, err := io.Copy(io.Discard, data); err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.state.Version, e.state.Order, e.state.State = info.Version, token, "serving"
	return nil
}

func (e *unpacedEngine) Events(context.Context, uint64) ([]platform.CacheEvent, error) {
	return nil, nil
}

func (e *unpacedEngine) Generate(context.Context, platform.GenerateJob) (platform.Stream, error) {
	return &unpacedStream{tokens: e.tokens, text: strings.Repeat("word", e.tokens)}, nil
}

type unpacedStream struct {
	tokens, position int
	text             string
}

func (s *unpacedStream) Close() error { return nil }

func (s *unpacedStream) Next() (platform.Chunk, error) {
	s.position++
	c := platform.Chunk{Text: s.text, Tokens: s.tokens, Version: sampleVersion, Boot: "boot"}
	if s.position == chunksPerStream {
		c.Finish = "stop"
	}
	return c, nil
}

// memoryLog is a log that keeps one stream in memory.
type memoryLog struct {
	mu      sync.Mutex
	records []platform.Record
}

func (l *memoryLog) Append(_ context.Context, _ string, data []byte) (uint64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.records = append(l.records, platform.Record{Offset: uint64(len(l.records)), Data: data})
	return uint64(len(l.records) - 1), nil
}

func (l *memoryLog) Read(_ context.Context, _ string, from uint64, _ int, _ time.Duration) (platform.Page, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	end := uint64(len(l.records))
	return platform.Page{Records: l.records[min(from, end):], Next: end, End: end}, nil
}

// oneByteStore is a weight store whose versions have one byte.
type oneByteStore struct{ platform.WeightStore }

func (oneByteStore) Fetch(_ context.Context, model string, version uint64) (io.ReadCloser, platform.WeightInfo, error) {
	data := []byte{byte(version)}
	sum := sha256.Sum256(data)
	info := platform.WeightInfo{Model: model, Version: version, Bytes: 1, Digest: hex.EncodeToString(sum[:])}
	return io.NopCloser(bytes.NewReader(data)), info, nil
}

// generateServer is an agent's server that implements only Generate.
type generateServer struct {
	pb.UnimplementedAgentServer
	h *generate.Handler
}

func (g generateServer) Generate(req *pb.GenerateRequest, out grpc.ServerStreamingServer[pb.GenerateReply]) error {
	return g.h.Generate(req, out)
}

// BenchmarkGenerate streams samples' chunks from an engine through the agent to a
// reader over gRPC. One iteration is one chunk; the processor time is that of both
// sides. This is the data path, which does not count towards the control budget.
func BenchmarkGenerate(b *testing.B) {
	for _, tokens := range []int{1, 8, 32} {
		for _, streams := range []int{1, 32} {
			b.Run(fmt.Sprintf("tokens=%d/streams=%d", tokens, streams), func(b *testing.B) { benchGenerate(b, tokens, streams) })
		}
	}
}

func benchGenerate(b *testing.B, tokens, streams int) {
	client, traffic := startGenerator(b, tokens, streams)
	benchStream(b, client, "warm-up")
	cpu0, err := CPUTime()
	require.NoError(b, err)
	bytes0 := traffic.Total()
	streamsPerReader := max(1, b.N/chunksPerStream/streams)
	var readers sync.WaitGroup
	b.ResetTimer()
	for i := range streams {
		readers.Go(func() {
			for j := range streamsPerReader {
				benchStream(b, client, fmt.Sprintf("sample-%d-%d", i, j))
			}
		})
	}
	readers.Wait()
	b.StopTimer()
	cpu1, err := CPUTime()
	require.NoError(b, err)
	chunks := float64(streamsPerReader * streams * chunksPerStream)
	b.ReportMetric(float64((cpu1-cpu0).Microseconds())/chunks, "cpu-us/chunk")
	b.ReportMetric(float64((cpu1-cpu0).Microseconds())/chunks/float64(tokens), "cpu-us/token")
	b.ReportMetric(float64(traffic.Total()-bytes0)/chunks, "wire-B/chunk")
	b.ReportMetric(0, "ns/op")
}

func benchStream(b *testing.B, client pb.AgentClient, id string) {
	stream, err := client.Generate(context.Background(), &pb.GenerateRequest{
		RequestId: id, Caller: "trainer-0", Model: "model-0", Prompt: "prompt", MaxTokens: 1 << 20,
		Sample: &pb.SampleID{Trainer: "trainer-0", Step: 1, Group: id}, Epoch: &pb.Epoch{Attempt: 1},
	})
	if err != nil {
		b.Error(err)
		return
	}
	for {
		reply, err := stream.Recv()
		if err != nil || reply.GetRefusal() != nil {
			b.Error(err, reply.GetRefusal())
			return
		}
		if reply.GetDone() != nil {
			return
		}
	}
}

func startGenerator(b *testing.B, tokens, streams int) (pb.AgentClient, *Traffic) {
	view := confsync.Static{V: &confsync.View{
		Manifest: &manifest.Manifest{
			Fleet:    manifest.Fleet{Weigh: manifest.WeighIdle},
			Models:   map[string]manifest.Model{"model-0": {Name: "model-0"}},
			Trainers: map[string]manifest.Trainer{"trainer-0": {Name: "trainer-0", Model: "model-0", StalenessBound: 1}},
		},
		Versions: map[string]uint64{"model-0": sampleVersion},
	}}
	engine := &unpacedEngine{tokens: tokens, state: platform.EngineState{Boot: "boot", Model: "model-0", Version: sampleVersion, State: "serving"}}
	keeper := weights.New(weights.Config{Server: "agent-0001", Model: "model-0", Engine: engine, Store: oneByteStore{}, Log: &memoryLog{}, View: view})
	h := generate.New(generate.Config{
		Name: "agent-0001", Engine: engine, View: view, Weights: keeper,
		Queue: admission.New(admission.Config{Slots: streams, MaxQueue: streams}), Held: held.New(held.Config{}),
	})
	ctx, cancel := context.WithCancel(context.Background())
	var loops sync.WaitGroup
	loops.Go(func() { keeper.Run(ctx) })
	loops.Go(func() { h.Run(ctx) })
	b.Cleanup(func() { cancel(); loops.Wait() })
	_, _, err := keeper.WaitFresh(ctx, sampleVersion)
	require.NoError(b, err)

	traffic := &Traffic{}
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	srv := run.NewGRPC(lis.Addr().String()).Server
	pb.RegisterAgentServer(srv, generateServer{h: h})
	go func() { _ = srv.Serve(traffic.Listen(lis)) }()
	b.Cleanup(srv.Stop)
	conn, err := run.NewClient(lis.Addr().String())
	require.NoError(b, err)
	b.Cleanup(func() { _ = conn.Close() })
	return pb.NewAgentClient(conn), traffic
}
