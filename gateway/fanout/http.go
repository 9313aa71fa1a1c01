package fanout

import (
	"bytes"
	"context"
	"encoding/gob"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"dandelionsill.org/base/outbound"
	"dandelionsill.org/decide/fanout"
	"dandelionsill.org/platform"
)

// PathTail is the HTTP path at which a process serves the streams that it follows.
const PathTail = "/tail"

// Parameters of a read from a parent.
const (
	paramStream   = "stream"
	paramFrom     = "from"
	paramMaxBytes = "max_bytes"
	paramWait     = "wait_ms"
	paramNewest   = "newest"
)

var (
	// errNotFollowing: the parent does not follow the log now.
	errNotFollowing = errors.New("the gateway does not follow the log now")
	// errParentsStale: no parent follows the log now.
	errParentsStale = errors.New("no gateway follows the log now")
)

// parentRead is a read from a parent.
type parentRead struct {
	stream   string
	from     uint64
	maxBytes int // 0: defaultPageBytes
	wait     time.Duration
	newest   bool // all newest records instead of those from an offset on
}

// tailAnswer is an answer to a read. Its fields are those of platform.Page.
type tailAnswer struct {
	Records          []tailRecord
	Next, First, End uint64
	// Age is how long before the answer the log was last known to end at End, and Waited how
	// long the read has waited.
	Age, Waited time.Duration
}

type tailRecord struct {
	Offset uint64
	Data   []byte
}

func (read *parentRead) query() url.Values {
	q := url.Values{paramStream: {read.stream}}
	if read.newest {
		q.Set(paramNewest, "1")
		return q
	}
	q.Set(paramFrom, strconv.FormatUint(read.from, 10))
	q.Set(paramMaxBytes, strconv.Itoa(read.maxBytes))
	q.Set(paramWait, strconv.FormatInt(read.wait.Milliseconds(), 10))
	return q
}

// askParent reads from a parent, and returns the page and when the log was known to end at the
// page's End. Its errors are platform.ErrTruncated, errNotFollowing, and others if the parent
// gives no valid answer.
func (r *Reader) askParent(ctx context.Context, parent fanout.Member, read parentRead) (platform.Page, time.Duration, error) {
	sent := r.cfg.Now()
	answer, err := r.callParent(ctx, parent, read)
	if err != nil {
		return platform.Page{}, 0, err
	}
	// The answer's own delay is unknown, so that the time is counted from the start of the call.
	endedAt := sent + answer.Waited - answer.Age
	page := answer.page()
	page.Age = max(0, sent-endedAt)
	return page, endedAt, nil
}

func (r *Reader) callParent(ctx context.Context, parent fanout.Member, read parentRead) (*tailAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, read.wait+answerMargin)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+parent.Addr+PathTail+"?"+read.query().Encode(), nil)
	if err != nil {
		return nil, errors.Trace(err)
	}
	resp, err := r.http.Do(req)
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer resp.Body.Close()
	data, err := outbound.ReadBody(resp.Body, maxAnswerBytes)
	if err != nil {
		return nil, errors.Trace(err)
	}
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusGone:
		return nil, platform.ErrTruncated
	case http.StatusServiceUnavailable:
		return nil, errNotFollowing
	default:
		return nil, errors.Errorf("gateway %s: status %d", parent.VM, resp.StatusCode)
	}
	receivedFromPeers.Add(int64(len(data)))
	var answer tailAnswer
	if err := gob.NewDecoder(bytes.NewReader(data)).Decode(&answer); err != nil {
		return nil, errors.Annotatef(err, "gateway %s", parent.VM)
	}
	return &answer, nil
}

func (a *tailAnswer) page() platform.Page {
	page := platform.Page{Next: a.Next, First: a.First, End: a.End}
	for _, r := range a.Records {
		page.Records = append(page.Records, platform.Record{Offset: r.Offset, Data: r.Data})
	}
	return page
}

// ServeHTTP serves the streams that this process follows.
func (r *Reader) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	query := req.URL.Query()
	b := r.buffers[query.Get(paramStream)]
	if b == nil {
		http.NotFound(w, req)
		return
	}
	start := r.cfg.Now()
	if !r.follows(b, start) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if query.Get(paramNewest) != "" {
		page, ok := b.readNewest(start)
		r.answer(w, page, ok, http.StatusServiceUnavailable, 0)
		return
	}
	from, err := strconv.ParseUint(query.Get(paramFrom), 10, 64)
	if err != nil {
		http.Error(w, "from is not an offset", http.StatusBadRequest)
		return
	}
	waitMS, _ := strconv.Atoi(query.Get(paramWait)) // invalid: no wait
	r.lastServed.Store(int64(start))
	b.waitForRecord(req.Context(), from, min(maxLeafWait, time.Duration(waitMS)*time.Millisecond))
	maxBytes, _ := strconv.Atoi(query.Get(paramMaxBytes))
	if maxBytes <= 0 {
		maxBytes = defaultPageBytes
	}
	now := r.cfg.Now()
	page, ok := b.read(now, from, maxBytes)
	r.answer(w, page, ok, http.StatusGone, now-start)
}

// follows reports whether what this process has read of a stream is recent.
func (r *Reader) follows(b *buffer, now time.Duration) bool {
	age, ok := b.endAge(now)
	return ok && age <= fanout.MaxAge
}

// answer writes the answer to a read that has waited. ok reports whether there is a page; otherwise
// status is written.
func (r *Reader) answer(w http.ResponseWriter, page platform.Page, ok bool, status int, waited time.Duration) {
	if ok && page.Age > fanout.MaxAge {
		ok, status = false, http.StatusServiceUnavailable
	}
	if !ok {
		w.WriteHeader(status)
		return
	}
	out := tailAnswer{Next: page.Next, First: page.First, End: page.End, Age: page.Age, Waited: waited}
	for _, rec := range page.Records {
		out.Records = append(out.Records, tailRecord{Offset: rec.Offset, Data: rec.Data})
	}
	var body bytes.Buffer
	if err := gob.NewEncoder(&body).Encode(&out); err != nil {
		r.log.Error("Could not encode records for another process.", zap.Error(err))
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	servedReads.Add(1)
	servedToPeers.Add(int64(body.Len()))
	w.Header().Set("Content-Length", strconv.Itoa(body.Len()))
	_, _ = w.Write(body.Bytes()) // the peer notices a lost answer
}

// waitForRecord waits until there is a record from an offset on, for at most wait.
func (b *buffer) waitForRecord(ctx context.Context, from uint64, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		changed := b.changed.Next()
		if b.hasRecord(from) {
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}
