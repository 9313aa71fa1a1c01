package jobs

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"dandelionsill.org/fold/jobs"
	"dandelionsill.org/gateway/gatewaytest"
)

// One plan of an owner that runs six steps of 150 samples on 73 engines: it plans up to
// 50 times a second.
func BenchmarkPlan(b *testing.B) {
	const steps, items, engines = 6, 150, 73
	pf := gatewaytest.NewPlatform(b, engines, 0)
	p := pf.NewProcess(b)
	book := NewBook(p.Store, zap.NewNop())
	writer := jobs.Writer{Node: "a", Life: "1"}
	r := NewRunner(book, p.Store, p.Forward, writer, 3, 1200, zap.NewNop())
	servers := p.View.Current().Servers["engines"]
	now := time.Now()
	for k := range steps {
		job := fmt.Sprint("j", k)
		a := &jobs.Accept{Head: jobs.Head{ID: job, Host: "app.example", Path: "/jobs/" + job, Model: "m", Groups: 10, SubmittedMS: now.UnixMilli()}, Parts: 1, Owner: &writer}
		for i := range items {
			a.Items = append(a.Items, jobs.ItemRef{ID: fmt.Sprintf("%s-%03d", job, i), Group: fmt.Sprint("g", i/8)})
		}
		book.state.Apply(uint64(k), &jobs.Record{Writer: writer, Accept: a})
		j := book.state.Jobs[job]
		works := map[string]*work{}
		for i, id := range j.Order {
			w := newWork(j, jobs.Item{Request: jobs.Request{ID: id, Host: "app.example", Path: "/chat/" + id}, Group: a.Items[i].Group}, jobs.Made{})
			w.lastEvent, w.streamed = now.Add(time.Hour), 1 // not silent
			w.size.Model, w.size.Expected = "m", 100+i
			w.phase, w.server = running, servers[i%engines].ID
			works[id] = w
		}
		r.works[job] = works
	}
	for i := range 30 {
		w := r.works["j0"]["j0-000"]
		w.size.Expected, w.events = 50+i, make([]jobs.Event, 10+i)
		r.learnLength(w)
		w.events = nil
	}
	for _, s := range servers {
		r.paces.Observe(s.ID, 75*time.Millisecond, now)
	}
	require.NotEmpty(b, servers)
	b.ReportAllocs()
	for b.Loop() {
		r.plan(b.Context())
	}
}
