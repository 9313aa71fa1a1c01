package jobs

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
)

// randomID returns an id in the format that callers use.
func randomID(rng *rand.Rand) string { return fmt.Sprintf("%016x", rng.Uint64()) }

// randomResult returns a result whose ids and score have realistic lengths.
func randomResult(rng *rand.Rand, job string) Result {
	return Result{
		Job: job, Item: randomID(rng), Ref: &TextRef{Partition: 3, Offset: rng.Uint64N(1e5), Bytes: rng.IntN(20000)},
		Versions: []uint64{6, 7}, Score: fmt.Sprintf("%04x.07.5a2.600.0.%08x", rng.Uint32N(1<<16), rng.Uint32()),
	}
}

// BenchmarkSampleRecord measures the size per sample, and the time to decompress, of a
// record with the starts and results of four samples. Each sample takes 71 bytes
// compressed and 210 uncompressed; decompressing the record takes 11 µs.
func BenchmarkSampleRecord(b *testing.B) {
	rng := rand.New(rand.NewPCG(1, 1))
	r := Record{Writer: ann}
	const each = 4
	job := randomID(rng)
	for range each {
		item, server := randomID(rng), fmt.Sprintf("i-%08x@%d", rng.Uint32(), 1790000000000+rng.IntN(1e6))
		r.Starts = append(r.Starts, Start{Job: job, Item: item, Server: server})
		r.Results = append(r.Results, randomResult(rng, job))
	}
	uncompressed, err := json.Marshal(&r)
	require.NoError(b, err)
	data, err := r.Encode()
	require.NoError(b, err)
	for b.Loop() {
		_, err := decompress(data)
		require.NoError(b, err)
	}
	b.ReportMetric(float64(len(uncompressed))/each, "B/plain")
	b.ReportMetric(float64(len(data))/each, "B/packed")
}

// BenchmarkFoldResult measures decoding and applying a record with results, and the
// size per result.
func BenchmarkFoldResult(b *testing.B) {
	rng := rand.New(rand.NewPCG(1, 1))
	r := Record{Writer: ann}
	const each = 16
	for range each {
		r.Results = append(r.Results, randomResult(rng, "0123456789abcdef"))
	}
	data, err := r.Encode()
	require.NoError(b, err)
	s := New()
	s.Jobs["0123456789abcdef"] = &Job{Items: map[string]*ItemState{}}
	for b.Loop() {
		record, err := Decode(data)
		require.NoError(b, err)
		s.Apply(1, record)
	}
	b.ReportMetric(float64(len(data))/each, "B/result")
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/each, "ns/result")
}

// BenchmarkFoldJob measures decoding and applying a job of 100 items without their bodies.
func BenchmarkFoldJob(b *testing.B) {
	rng := rand.New(rand.NewPCG(1, 1))
	a := &Acceptance{Spec: Spec{ID: "j"}, Parts: 1}
	for i := range 100 {
		a.Items = append(a.Items, ItemRef{ID: randomID(rng), Group: fmt.Sprintf("g%x", 4096+i/8)})
	}
	data, err := (&Record{Writer: ann, Acceptance: a}).Encode()
	require.NoError(b, err)
	for b.Loop() {
		record, err := Decode(data)
		require.NoError(b, err)
		New().Apply(1, record)
	}
	b.ReportMetric(float64(len(data))/100, "B/item")
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/100, "ns/item")
}
