package jobs

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"dandelionsill.org/base/logs"
	"dandelionsill.org/base/metrics"
	"dandelionsill.org/fold/jobs"
)

// Limits of texts in memory and of answers with them.
const (
	// cacheBytes bounds the texts that a process keeps to answer reads with.
	cacheBytes = 8 << 20
	// resultsBytes bounds the texts of one answer, in bytes.
	resultsBytes = 900 << 10
)

var (
	textReads     = metrics.Counter("jobs_text_reads_total")
	textsFromPeer = metrics.Counter("jobs_texts_from_peers_total")
	// textCallsFailed counts calls to writers that brought nothing.
	textCallsFailed = metrics.Counter("jobs_text_calls_failed_total")
)

// Library gives the texts of results: from memory, from the process that wrote
// them, or from the log. A step that was whole just before an outage of the store
// can be read in it; what the writer has no more stands in the log.
type Library struct {
	log  *reader
	http *http.Client
	zlog *zap.Logger
	// peer returns where a VM's process hands out texts, IP:port; empty: unknown.
	peer func(node string) string

	mu    sync.Mutex
	texts map[textKey]string
	order []textKey // the oldest first
	bytes int
}

// textKey tells where a text stands.
type textKey struct {
	part   int
	offset uint64
	item   string
}

func keyOf(r *jobs.Result) textKey { return textKey{r.Ref.Partition, r.Ref.Offset, r.Item} }

func newLibrary(log *reader, zlog *zap.Logger) *Library {
	return &Library{
		log: log, zlog: logs.Limited(zlog, retriesEvery), texts: map[textKey]string{}, peer: func(string) string { return "" },
		http: &http.Client{Timeout: peerTimeout, Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: callsAtOnce}},
	}
}

// SetPeers tells where the processes of other VMs hand out texts; it is called
// before the first use.
func (l *Library) SetPeers(peer func(node string) string) { l.peer = peer }

// put keeps a text; the oldest leave first.
func (l *Library) put(key textKey, text string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, known := l.texts[key]; known {
		return
	}
	l.texts[key] = text
	l.order = append(l.order, key)
	l.bytes += len(text)
	for l.bytes > cacheBytes && len(l.order) > 1 {
		l.bytes -= len(l.texts[l.order[0]])
		delete(l.texts, l.order[0])
		l.order = l.order[1:]
	}
}

func (l *Library) get(key textKey) (string, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	text, ok := l.texts[key]
	return text, ok
}

// fill puts the texts into results, as many as an answer holds; at least the
// first one, unless it is not to be had.
//
// The writer is asked first, for it has the texts in memory: a log that is asked
// beside it sends each text twice, a large fleet's more than its bandwidth, and nobody
// follows it any more. A writer that is slow is asked again only where the log does not answer.
func (l *Library) fill(ctx context.Context, results []jobs.Result) ([]jobs.Result, error) {
	f := &filling{library: l, results: slices.Clone(results[:fitting(results)])}
	f.fromMemory()
	f.fromWriters(ctx, askLogAfter)
	f.fromLog(ctx)
	if f.err != nil {
		f.fromWriters(ctx, peerTimeout)
	}
	whole := f.whole()
	if whole == 0 && len(f.results) > 0 {
		return nil, f.err
	}
	return f.results[:whole], nil
}

// fitting is how many results, with their texts, an answer holds.
func fitting(results []jobs.Result) int {
	size := 0
	for i, r := range results {
		if r.Ref == nil {
			continue
		}
		if size += r.Ref.Bytes; size > resultsBytes && i > 0 {
			return i
		}
	}
	return len(results)
}

// filling is one answer on its way.
type filling struct {
	library *Library
	results []jobs.Result
	// err is why the log did not give the texts that are missing.
	err error
}

// missing returns the results whose text is still to be had.
func (f *filling) missing() []*jobs.Result {
	var out []*jobs.Result
	for i := range f.results {
		if r := &f.results[i]; r.Ref != nil && r.Text == "" && r.Ref.Bytes > 0 {
			out = append(out, r)
		}
	}
	return out
}

// whole is how many results have their texts before the first that has not.
func (f *filling) whole() int {
	missing := f.missing()
	if len(missing) == 0 {
		return len(f.results)
	}
	return slices.IndexFunc(f.results, func(r jobs.Result) bool { return r.Ref != nil && r.Item == missing[0].Item })
}

func (f *filling) fromMemory() {
	for _, r := range f.missing() {
		r.Text, _ = f.library.get(keyOf(r))
	}
}

// fromWriters asks the processes that wrote the missing texts, each for at most a
// while.
func (f *filling) fromWriters(ctx context.Context, most time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, most)
	defer cancel()
	slots := make(chan struct{}, callsAtOnce)
	var calls sync.WaitGroup
	for _, call := range textCalls(f.missing(), f.library.peer) {
		slots <- struct{}{}
		calls.Go(func() {
			f.library.ask(ctx, call)
			<-slots
		})
	}
	calls.Wait()
	f.fromMemory()
}

// fromLog reads the missing texts from the log, those of one partition one after the
// other: the results of a job stand side by side. Read by themselves, with what stood
// behind each, the texts of one answer cost eight times their bytes.
func (f *filling) fromLog(ctx context.Context) {
	missing := f.missing()
	slices.SortStableFunc(missing, func(a, b *jobs.Result) int { return compareRefs(a.Ref, b.Ref) })
	for len(missing) > 0 {
		next, err := f.library.read(ctx, missing)
		if err != nil {
			f.err = err
			break
		}
		missing = next
	}
	f.fromMemory()
}
