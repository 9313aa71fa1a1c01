package jobs

import (
	"bytes"
	"encoding/json"
	"math/rand"
	"net/http/httptest"
	"testing"

	"dandelionsill.org/fold/jobs"
	"dandelionsill.org/platform/hosted"
	"dandelionsill.org/platform/hosted/hostedtest"
)

// BenchmarkSubmission measures what an entry does with a step of 120 samples before accepting it.
func BenchmarkSubmission(b *testing.B) {
	const items = 120
	job := hostedtest.Job("j", "m", items, 1)
	rng := rand.New(rand.NewSource(1))
	noise := func(n int) []byte {
		data := make([]byte, n)
		for i := range data {
			data[i] = byte(rng.Intn(256))
		}
		return data
	}
	for _, item := range job["items"].([]map[string]any) {
		item["body"] = noise(1200)
		item[hostedtest.FieldScore].(map[string]any)["body"] = noise(600)
	}
	body, err := json.Marshal(job)
	if err != nil {
		b.Fatal(err)
	}
	b.SetBytes(int64(len(body)))
	b.Run("decode", func(b *testing.B) {
		for b.Loop() {
			r := httptest.NewRequest("POST", "/jobs/x", bytes.NewReader(body))
			hosted.SetAttemptID(r.Header, "j")
			if _, _, err := hosted.DecodeJob(r, body); err != nil {
				b.Fatal(err)
			}
		}
	})
	r := httptest.NewRequest("POST", "/jobs/x", bytes.NewReader(body))
	hosted.SetAttemptID(r.Header, "j")
	_, list, err := hosted.DecodeJob(r, body)
	if err != nil {
		b.Fatal(err)
	}
	b.Run("encode", func(b *testing.B) {
		for b.Loop() {
			records, err := encodeItems(jobs.Writer{VM: "front-a-1", Incarnation: "1"}, "j", list)
			if err != nil {
				b.Fatal(err)
			}
			size := 0
			for _, rec := range records {
				size += len(rec)
			}
			b.ReportMetric(float64(size), "bytes")
		}
	})
}
