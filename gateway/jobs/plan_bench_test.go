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

// BenchmarkPlan measures one plan of an owner that runs six steps of 150 samples on 73 engines;
// an owner plans up to 50 times a second.
func BenchmarkPlan(b *testing.B) {
	const steps, items, engines = 6, 150, 73
	pf := gatewaytest.NewPlatform(b, engines, 0)
	p := pf.NewProcess(b)
	index := NewIndex(p.Store, zap.NewNop())
	writer := jobs.Writer{VM: "a", Incarnation: "1"}
	r := NewRunner(index, p.Store, p.Forward, writer, 3, 1200, zap.NewNop())
	servers := p.View.Current().Servers["engines"]
	now := time.Now()
	for k := range steps {
		job := fmt.Sprint("j", k)
		a := &jobs.Acceptance{Spec: jobs.Spec{ID: job, Host: "app.example", Path: "/jobs/" + job, Model: "m", Groups: 10, SubmittedMS: now.UnixMilli()}, Parts: 1, Owner: &writer}
		for i := range items {
			a.Items = append(a.Items, jobs.ItemRef{ID: fmt.Sprintf("%s-%03d", job, i), Group: fmt.Sprint("g", i/8)})
		}
		index.state.Apply(uint64(k), &jobs.Record{Writer: writer, Acceptance: a})
		j := index.state.Jobs[job]
		active := map[string]*activeItem{}
		for i, id := range j.Order {
			item := newActiveItem(j, jobs.Item{Request: jobs.Request{ID: id, Host: "app.example", Path: "/chat/" + id}, Group: a.Items[i].Group}, jobs.Output{})
			item.lastEventAt, item.streamEvents = now.Add(time.Hour), 1 // not silent
			item.size.Model, item.size.ExpectedOutput = "m", 100+i
			item.phase, item.server = running, servers[i%engines].ID
			active[id] = item
		}
		r.active[job] = active
	}
	for i := range 30 {
		item := r.active["j0"]["j0-000"]
		item.size.ExpectedOutput, item.events = 50+i, make([]jobs.Event, 10+i)
		r.observeLength(item)
		item.events = nil
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
