package jobs

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/juju/errors"

	"dandelionsill.org/base/metrics"
	"dandelionsill.org/fold/jobs"
	"dandelionsill.org/platform"
)

// Limits of texts in memory and of reads of them.
const (
	// cacheBytes bounds the texts that a process keeps to answer reads with.
	cacheBytes = 8 << 20
	// resultsBytes bounds the texts of one answer, in bytes.
	resultsBytes = 900 << 10
	// readKB is how much a read of texts returns at least in part: the results of
	// one moment stand side by side, and are read together.
	readKB = 256
	// askSecondAfter is how long one source may take over a text before the other is
	// asked as well: some ten times an answer of either.
	askSecondAfter = 50 * time.Millisecond
	// textsAtOnce is how many texts are asked for side by side.
	textsAtOnce = 8
	// peerTimeout bounds a call to a peer, a few milliseconds away.
	peerTimeout = 300 * time.Millisecond
)

// PathTexts is where a process hands texts to its peers.
const PathTexts = "/texts"

var (
	textReads     = metrics.Counter("jobs_text_reads_total")
	textsFromPeer = metrics.Counter("jobs_texts_from_peers_total")
)

// Library gives the texts of results: from memory, from the process that wrote
// them, or from the log. A step that was whole just before an outage of the store
// can be read in it; what the writer has no more stands in the log.
type Library struct {
	log  platform.Log
	http *http.Client
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

func newLibrary(log platform.Log) *Library {
	return &Library{
		log: log, texts: map[textKey]string{}, peer: func(string) string { return "" },
		http: &http.Client{Timeout: peerTimeout, Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: textsAtOnce}},
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
func (l *Library) fill(ctx context.Context, results []jobs.Result) ([]jobs.Result, error) {
	filled := slices.Clone(results[:fitting(results)])
	logFirst := false
	for from := 0; from < len(filled); from += textsAtOnce {
		part := filled[from:min(len(filled), from+textsAtOnce)]
		bySecond, whole, err := l.fillPart(ctx, part, logFirst)
		if from+whole == 0 && err != nil {
			return nil, err
		}
		if err != nil {
			return filled[:from+whole], nil
		}
		if bySecond {
			logFirst = !logFirst // the first is no faster with the next ones
		}
	}
	return filled, nil
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

// fillPart gets the texts of some results side by side. whole is how many have
// theirs before the first that has not, err why that is.
func (l *Library) fillPart(ctx context.Context, part []jobs.Result, logFirst bool) (bySecond bool, whole int, err error) {
	errs := make([]error, len(part))
	seconds := make([]bool, len(part))
	var calls sync.WaitGroup
	for i := range part {
		if part[i].Ref == nil {
			continue
		}
		calls.Go(func() { part[i].Text, seconds[i], errs[i] = l.text(ctx, part[i], logFirst) })
	}
	calls.Wait()
	for i := range part {
		if errs[i] != nil {
			return bySecond, i, errs[i]
		}
		bySecond = bySecond || seconds[i]
	}
	return bySecond, len(part), nil
}

// text returns the text of a result, and whether the source that was asked second
// gave it: the process that wrote it, which has it in memory, or the log.
//
// The writer is asked first. A read of the log brings 256 KB whatever becomes of it:
// where the log was asked first and the writer as well for each text that took
// 50 ms, 160 gateways had 1,800 reads a second sent to them and hung up, 450 MB/s of
// the store's 80, and nobody followed the log any more.
func (l *Library) text(ctx context.Context, r jobs.Result, logFirst bool) (text string, bySecond bool, err error) {
	key := textKey{r.Ref.Part, r.Ref.Offset, r.Item}
	if text, ok := l.get(key); ok {
		return text, false, nil
	}
	read := func(ctx context.Context) (string, error) { return l.read(ctx, key) }
	ask := func(ctx context.Context) (string, error) {
		text, err := l.ask(ctx, l.peer(r.Writer), key)
		if err == nil {
			textsFromPeer.Add(1)
			l.put(key, text)
		}
		return text, err
	}
	if logFirst {
		return hedge(ctx, askSecondAfter, read, ask)
	}
	return hedge(ctx, askSecondAfter, ask, read)
}

// hedge calls first, and second as well once first has failed or taken as long
// as patience. It returns the first success, and whether it is second's.
func hedge(ctx context.Context, patience time.Duration, first, second func(context.Context) (string, error)) (string, bool, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type answer struct {
		text     string
		bySecond bool
		err      error
	}
	answers := make(chan answer, 2)
	call := func(f func(context.Context) (string, error), bySecond bool) {
		text, err := f(ctx)
		answers <- answer{text, bySecond, err}
	}
	go call(first, false)
	wait := time.NewTimer(patience)
	defer wait.Stop()
	for running, failures := 1, 0; ; {
		select {
		case a := <-answers:
			if a.err == nil {
				return a.text, a.bySecond, nil
			}
			if failures++; failures == 2 {
				return "", false, errors.Trace(a.err)
			}
		case <-wait.C:
		}
		if running == 1 {
			running = 2
			go call(second, true)
		}
	}
}

// read reads a text, and those beside it, from the log.
func (l *Library) read(ctx context.Context, key textKey) (string, error) {
	textReads.Add(1)
	page, err := l.log.Read(ctx, textStream(key.part), key.offset, readKB, 0)
	if err != nil {
		return "", errors.Trace(err)
	}
	for _, rec := range page.Records {
		record, err := jobs.DecodeText(rec.Data)
		if err != nil {
			continue // another record's fault; ours shows as missing below
		}
		for _, text := range record.Texts {
			l.put(textKey{key.part, rec.Offset, text.Item}, text.Text)
		}
	}
	text, ok := l.get(key)
	if !ok {
		return "", errors.NotFoundf("text of item %s at offset %d", key.item, key.offset)
	}
	return text, nil
}

// ask asks the process at addr for a text that it has in memory.
func (l *Library) ask(ctx context.Context, addr string, key textKey) (string, error) {
	if addr == "" {
		return "", errors.NotFoundf("address of a peer")
	}
	target := url.URL{Scheme: "http", Host: addr, Path: PathTexts, RawQuery: url.Values{
		"part": {strconv.Itoa(key.part)}, "offset": {strconv.FormatUint(key.offset, 10)}, "item": {key.item},
	}.Encode()}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), nil)
	if err != nil {
		return "", errors.Trace(err)
	}
	resp, err := l.http.Do(req)
	if err != nil {
		return "", errors.Trace(err)
	}
	defer resp.Body.Close()
	// A text that was cut off ends with an error: the answer states its length.
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return "", errors.Trace(err)
	}
	if resp.StatusCode != http.StatusOK {
		return "", errors.Errorf("peer %s: status %d", addr, resp.StatusCode)
	}
	return string(data), nil
}

// ServeHTTP hands a text that this process has in memory to a peer.
func (l *Library) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	part, partErr := strconv.Atoi(q.Get("part"))
	offset, offsetErr := strconv.ParseUint(q.Get("offset"), 10, 64)
	if partErr != nil || offsetErr != nil {
		http.Error(w, fmt.Sprintf("part %q, offset %q", q.Get("part"), q.Get("offset")), http.StatusBadRequest)
		return
	}
	text, ok := l.get(textKey{part, offset, q.Get("item")})
	if !ok {
		http.Error(w, "no such text in memory", http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	_, _ = io.WriteString(w, text) // the peer sees a text that is cut off by its length
}
