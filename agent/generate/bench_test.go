package generate

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"

	"dandelionsill.org/platform"
	"dandelionsill.org/wire/pb"
)

// burst is an engine stream whose chunks are all available at once.
type burst struct{ remaining int }

func (s *burst) Next() (platform.Chunk, error) {
	s.remaining--
	c := platform.Chunk{Text: "eight by", Tokens: 2, Version: 7, Boot: "b1"}
	if s.remaining == 0 {
		c.Finish = "stop"
	}
	return c, nil
}

func (s *burst) Close() error { return nil }

// burstEngine answers each job with a burst of chunks.
type burstEngine struct {
	*fakeEngine
	chunks int
}

func (e burstEngine) Generate(context.Context, platform.GenerateJob) (platform.Stream, error) {
	return &burst{remaining: e.chunks}, nil
}

// discardReplies is a caller that keeps only the last reply.
type discardReplies struct {
	grpc.ServerStreamingServer[pb.GenerateReply]
	last *pb.GenerateReply
}

func (d *discardReplies) Context() context.Context { return context.Background() }
func (d *discardReplies) Send(r *pb.GenerateReply) error {
	d.last = r
	return nil
}

// BenchmarkChunk measures the agent's own cost of one chunk of a sample: the
// checks of label and freshness and the reply, without engine and network.
func BenchmarkChunk(b *testing.B) {
	h := newTestBench(b)
	h.cfg.Engine = burstEngine{h.engine, b.N}
	out := &discardReplies{}
	b.ReportAllocs()
	b.ResetTimer()
	require.NoError(b, h.Generate(sampleRequest("a", func(r *pb.GenerateRequest) { r.MaxTokens = 1 << 31 }), out))
	require.NotNil(b, out.last.GetDone())
}

// BenchmarkSample measures the cost of a complete sample of 32 chunks.
func BenchmarkSample(b *testing.B) {
	h := newTestBench(b)
	h.cfg.Engine = burstEngine{h.engine, 32}
	out := &discardReplies{}
	b.ReportAllocs()
	for range b.N {
		require.NoError(b, h.Generate(sampleRequest("a", nil), out))
	}
}
