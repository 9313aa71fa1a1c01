package jobs

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"dandelionsill.org/base/budget"
	"dandelionsill.org/base/logs"
	"dandelionsill.org/base/metrics"
	"dandelionsill.org/base/outbound"
	"dandelionsill.org/fold/jobs"
)

// Size limits of the cache and of answers.
const (
	// maxCacheBytes bounds the texts that a process keeps to answer reads.
	maxCacheBytes = 8 << 20
	// maxAnswerBytes bounds the texts of one answer.
	maxAnswerBytes = 900 << 10
)

var (
	textReads     = metrics.Counter("jobs_text_reads_total")
	textsFromPeer = metrics.Counter("jobs_texts_from_peers_total")
	// textCallsFailed counts failed calls to writers.
	textCallsFailed = metrics.Counter("jobs_text_calls_failed_total")
)

// TextCache returns the texts of results: from memory, from the process that wrote them, or
// from the log. So a step that was complete just before an outage of the store can be read
// during it; texts that the writer has dropped are read from the log.
type TextCache struct {
	neighbours *Neighbours // nil: unknown
	log        *reader
	http       *http.Client
	// holderHTTP carries calls to processes that read texts which this one may not read.
	holderHTTP *http.Client
	zlog       *zap.Logger
	// peerAddr returns the address, IP:port, at which a VM's process serves texts; empty:
	// unknown.
	peerAddr func(node string) string
	places   Places

	room  *budget.Share // nil: of unknown size
	limit int           // of bytes, but for a single text that is larger

	mu    sync.Mutex
	texts map[textKey]string
	order []textKey // oldest first
	bytes int
}

// textKey identifies a text by where it is stored.
type textKey struct {
	part   textPart
	offset uint64
	item   string
}

func keyOf(r *jobs.Result) textKey { return textKey{textPartOf(r.Ref), r.Ref.Offset, r.Item} }

func newTextCache(log *reader, zlog *zap.Logger) *TextCache {
	c := &TextCache{
		log: log, zlog: logs.Limited(zlog, retryLogInterval), limit: maxCacheBytes, texts: map[textKey]string{}, peerAddr: func(string) string { return "" },
		http: &http.Client{Timeout: peerTimeout, Transport: outbound.NewTransport(&http.Transport{DisableCompression: true, MaxIdleConnsPerHost: maxConcurrentCalls})},
	}
	c.holderHTTP = &http.Client{Timeout: holderTimeout, Transport: c.http.Transport}
	metrics.Gauge("jobs_text_cache_bytes", func() any { return c.size() })
	return c
}

// SetRoom sets the share of the process's memory for texts. Only its guaranteed part is filled, because
// texts stay long and can be read again. It must be called before the first use.
func (c *TextCache) SetRoom(room *budget.Share) {
	c.room = room
	if room != nil {
		c.limit = min(maxCacheBytes, int(room.Guaranteed()))
	}
}

// size returns the number of bytes of all texts.
func (c *TextCache) size() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.bytes
}

// SetNeighbours sets what is known of the other gateways. It must be called before the first call.
func (c *TextCache) SetNeighbours(n *Neighbours) { c.neighbours = n }

// SetPeers sets the function that returns the address at which the process of another VM
// serves texts. It must be called before the first use.
func (c *TextCache) SetPeers(addr func(node string) string) { c.peerAddr = addr }

// put stores a text and removes the oldest ones beyond the limit. They can be read from the log
// again.
func (c *TextCache) put(key textKey, text string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, known := c.texts[key]; known {
		return
	}
	for c.bytes+len(text) > c.limit && len(c.order) > 0 {
		c.removeOldest()
	}
	if !c.room.Acquire(int64(len(text))) {
		c.zlog.Warn("The room for texts is smaller than one text.", zap.String("item", key.item), zap.Int("bytes", len(text)))
		return
	}
	c.texts[key] = text
	c.order = append(c.order, key)
	c.bytes += len(text)
}

// removeOldest removes the oldest text; c.mu is held.
func (c *TextCache) removeOldest() {
	size := len(c.texts[c.order[0]])
	delete(c.texts, c.order[0])
	c.order = c.order[1:]
	c.bytes -= size
	c.room.Release(int64(size))
}

func (c *TextCache) get(key textKey) (string, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	text, ok := c.texts[key]
	return text, ok
}

// fill returns results with their texts, as many as fit into an answer. It returns at least
// the first one, or the reason why its text can't be read.
//
// The writer is asked first, because it has the texts in memory. If the log were asked at the
// same time, each text would be sent twice: for a large fleet that is more than the log's
// bandwidth, and no process could follow the log any more. A slow writer is asked again only
// if the log does not answer.
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

// countFitting returns how many results fit into one answer with their texts.
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

// textFill is one answer that is being filled with texts.
type textFill struct {
	cache   *TextCache
	results []jobs.Result
	// err is why the missing texts could not be read from the log.
	err error

	mu sync.Mutex // guards results while calls to several peers run
}

// missing returns the results whose texts are still missing.
func (f *textFill) missing() []*jobs.Result {
	var out []*jobs.Result
	for i := range f.results {
		if r := &f.results[i]; r.Ref != nil && r.Text == "" && r.Ref.Bytes > 0 {
			out = append(out, r)
		}
	}
	return out
}

// completePrefix returns how many results have their texts before the first one that lacks it.
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

// fillFromWriters asks the processes that wrote the missing texts, for at most maxWait.
func (f *textFill) fillFromWriters(ctx context.Context, maxWait time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, maxWait)
	defer cancel()
	slots := make(chan struct{}, maxConcurrentCalls)
	var calls sync.WaitGroup
	for _, call := range groupTextCalls(f.missing(), f.cache.peerAddr) {
		slots <- struct{}{}
		calls.Go(func() {
			f.add(f.cache.fetchFromPeer(ctx, call))
			<-slots
		})
	}
	calls.Wait()
	f.fillFromMemory()
}

// add adds texts that a peer has returned. Those that this process may not keep are in this answer only.
func (f *textFill) add(returned []returnedText) {
	f.mu.Lock()
	defer f.mu.Unlock()
	texts := make(map[textKey]string, len(returned))
	for i := range returned {
		t := &returned[i]
		texts[t.key()] = t.Text
		if f.cache.mayRead(t.Regions) {
			f.cache.put(t.key(), t.Text)
		}
	}
	for i := range f.results {
		r := &f.results[i]
		if r.Ref == nil {
			continue
		}
		if text, returned := texts[keyOf(r)]; returned {
			r.Text = text
		}
	}
}

// fillFromLog reads the missing texts from the log, partition by partition in the order of
// their offsets, or through other processes if this one may not read them: the results of a job are close to each other. With a read for each text,
// which also returns what follows it, one answer cost eight times its bytes.
func (f *textFill) fillFromLog(ctx context.Context) {
	missing := slices.DeleteFunc(f.missing(), func(r *jobs.Result) bool { return !f.cache.mayRead(r.Ref.Regions) })
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
	f.fillFromHolders(ctx)
}
