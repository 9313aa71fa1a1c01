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
	// maxCacheBytes bounds the texts that a process keeps to answer reads with.
	maxCacheBytes = 8 << 20
	// maxAnswerBytes bounds the texts of one answer, in bytes.
	maxAnswerBytes = 900 << 10
)

var (
	textReads     = metrics.Counter("jobs_text_reads_total")
	textsFromPeer = metrics.Counter("jobs_texts_from_peers_total")
	// textCallsFailed counts calls to writers that brought nothing.
	textCallsFailed = metrics.Counter("jobs_text_calls_failed_total")
)

// TextCache gives the texts of results: from memory, from the process that wrote
// them, or from the log. A step that was whole just before an outage of the store
// can be read in it; what the writer has no more stands in the log.
type TextCache struct {
	log  *reader
	http *http.Client
	zlog *zap.Logger
	// peerAddr returns where a VM's process hands out texts, IP:port; empty: unknown.
	peerAddr func(node string) string

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

func keyOf(r *jobs.Result) textKey { return textKey{r.Ref.Part, r.Ref.Offset, r.Item} }

func newTextCache(log *reader, zlog *zap.Logger) *TextCache {
	return &TextCache{
		log: log, zlog: logs.Limited(zlog, retryLogInterval), texts: map[textKey]string{}, peerAddr: func(string) string { return "" },
		http: &http.Client{Timeout: peerTimeout, Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: maxConcurrentCalls}},
	}
}

// SetPeers tells where the processes of other VMs hand out texts; it is called
// before the first use.
func (c *TextCache) SetPeers(addr func(node string) string) { c.peerAddr = addr }

// put keeps a text; the oldest leave first.
func (c *TextCache) put(key textKey, text string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, known := c.texts[key]; known {
		return
	}
	c.texts[key] = text
	c.order = append(c.order, key)
	c.bytes += len(text)
	for c.bytes > maxCacheBytes && len(c.order) > 1 {
		c.bytes -= len(c.texts[c.order[0]])
		delete(c.texts, c.order[0])
		c.order = c.order[1:]
	}
}

func (c *TextCache) get(key textKey) (string, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	text, ok := c.texts[key]
	return text, ok
}

// fill puts the texts into results, as many as an answer holds; at least the
// first one, unless it is not to be had.
//
// The writer is asked first, for it has the texts in memory: a log that is asked
// beside it sends each text twice, a large fleet's more than its bandwidth, and nobody
// follows it any more. A writer that is slow is asked again only where the log does not answer.
func (c *TextCache) fill(ctx context.Context, results []jobs.Result) ([]jobs.Result, error) {
	f := &textFill{cache: c, results: slices.Clone(results[:countFitting(results)])}
	f.fillFromMemory()
	f.fillFromWriters(ctx, maxWriterWait)
	f.fillFromLog(ctx)
	if f.err != nil {
		f.fillFromWriters(ctx, peerTimeout)
	}
	available := f.completePrefix()
	if available == 0 && len(f.results) > 0 {
		return nil, f.err
	}
	return f.results[:available], nil
}

// countFitting is how many results, with their texts, an answer holds.
func countFitting(results []jobs.Result) int {
	size := 0
	for i, r := range results {
		if r.Ref == nil {
			continue
		}
		if size += r.Ref.Bytes; size > maxAnswerBytes && i > 0 {
			return i
		}
	}
	return len(results)
}

// textFill is one answer on its way.
type textFill struct {
	cache   *TextCache
	results []jobs.Result
	// err is why the log did not give the texts that are missing.
	err error
}

// missing returns the results whose text is still to be had.
func (f *textFill) missing() []*jobs.Result {
	var out []*jobs.Result
	for i := range f.results {
		if r := &f.results[i]; r.Ref != nil && r.Text == "" && r.Ref.Bytes > 0 {
			out = append(out, r)
		}
	}
	return out
}

// completePrefix is how many results have their texts before the first that has not.
func (f *textFill) completePrefix() int {
	missing := f.missing()
	if len(missing) == 0 {
		return len(f.results)
	}
	return slices.IndexFunc(f.results, func(r jobs.Result) bool { return r.Ref != nil && r.Item == missing[0].Item })
}

func (f *textFill) fillFromMemory() {
	for _, r := range f.missing() {
		r.Text, _ = f.cache.get(keyOf(r))
	}
}

// fillFromWriters asks the processes that wrote the missing texts, each for at most a
// while.
func (f *textFill) fillFromWriters(ctx context.Context, maxWait time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, maxWait)
	defer cancel()
	slots := make(chan struct{}, maxConcurrentCalls)
	var calls sync.WaitGroup
	for _, call := range groupTextCalls(f.missing(), f.cache.peerAddr) {
		slots <- struct{}{}
		calls.Go(func() {
			f.cache.fetchFromPeer(ctx, call)
			<-slots
		})
	}
	calls.Wait()
	f.fillFromMemory()
}

// fillFromLog reads the missing texts from the log, those of one partition one after the
// other: the results of a job stand side by side. Read by themselves, with what stood
// behind each, the texts of one answer cost eight times their bytes.
func (f *textFill) fillFromLog(ctx context.Context) {
	missing := f.missing()
	slices.SortStableFunc(missing, func(a, b *jobs.Result) int { return compareRefs(a.Ref, b.Ref) })
	for len(missing) > 0 {
		next, err := f.cache.readFromLog(ctx, missing)
		if err != nil {
			f.err = err
			break
		}
		missing = next
	}
	f.fillFromMemory()
}
