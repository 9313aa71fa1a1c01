package jobs

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"dandelionsill.org/fold/jobs"
)

// Limits of calls for texts.
const (
	// askLogAfter is how long the writers of texts may take before the log is asked:
	// some ten times the answer of one that is well, with 64 KB over the slowest
	// link.
	askLogAfter = 150 * time.Millisecond
	// peerTimeout bounds a call to a peer, a few milliseconds away, where the log does
	// not answer.
	peerTimeout = 300 * time.Millisecond
	// callsAtOnce is how many calls for texts run side by side.
	callsAtOnce = 4
	// callBytes is the size of the texts of one call: 10 ms over a link of 60 Mbit/s.
	callBytes = 64 << 10
	// callTexts is how many texts one call asks for, so that short ones do not make a
	// question that is larger than its answer.
	callTexts = 256
	// textReadsKB is the least that a read of texts asks for: the texts of one moment
	// stand in one record of up to 96 KB.
	textReadsKB = 128
	// besideTexts is how many bytes stand among a job's texts for each of theirs: the
	// same events as they came, and other jobs of the partition.
	besideTexts = 3
)

// PathTexts is where a process hands texts to its peers.
const PathTexts = "/texts"

// textAsked names a text in a call to the process that wrote it.
type textAsked struct {
	Part   int    `json:"part"`
	Offset uint64 `json:"offset"`
	Item   string `json:"item"`
}

// textGiven is a text in the answer; those that the process no longer has are left out.
type textGiven struct {
	textAsked
	Text string `json:"text"`
}

// textCall is one call to a peer.
type textCall struct {
	addr  string
	asked []textAsked
}

// textCalls divides texts among calls to their writers; those whose writer has no
// address are left out.
func textCalls(missing []*jobs.Result, peer func(node string) string) []textCall {
	var calls []textCall
	open := map[string]int{} // by writer: its call that is not full
	size := map[string]int{}
	for _, r := range missing {
		addr := peer(r.Writer)
		if addr == "" {
			continue
		}
		at, ok := open[addr]
		if !ok || size[addr]+r.Ref.Bytes > callBytes || len(calls[at].asked) == callTexts {
			at = len(calls)
			calls = append(calls, textCall{addr: addr})
			open[addr], size[addr] = at, 0
		}
		size[addr] += r.Ref.Bytes
		calls[at].asked = append(calls[at].asked, textAsked{r.Ref.Partition, r.Ref.Offset, r.Item})
	}
	return calls
}

// ask asks a peer for texts and keeps those that it has. One that fails is made up
// for by the log.
func (l *Library) ask(ctx context.Context, call textCall) {
	given, err := l.exchange(ctx, call)
	if err != nil {
		textCallsFailed.Add(1)
		l.zlog.Info("A writer did not give its texts.", zap.String("addr", call.addr), zap.Int("texts", len(call.asked)), zap.Error(err))
		return
	}
	for _, text := range given {
		textsFromPeer.Add(1)
		l.put(textKey{text.Part, text.Offset, text.Item}, text.Text)
	}
}

func (l *Library) exchange(ctx context.Context, call textCall) ([]textGiven, error) {
	body, err := json.Marshal(call.asked)
	if err != nil {
		return nil, errors.Trace(err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+call.addr+PathTexts, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Trace(err)
	}
	resp, err := l.http.Do(req)
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Errorf("peer %s: status %d", call.addr, resp.StatusCode)
	}
	// An answer that was cut off ends with an error: it states its length.
	var given []textGiven
	return given, errors.Trace(json.NewDecoder(resp.Body).Decode(&given))
}

// ServeHTTP hands texts that this process has in memory to a peer.
func (l *Library) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var asked []textAsked
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, callBytes)).Decode(&asked); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	given := make([]textGiven, 0, len(asked))
	for _, a := range asked {
		if text, ok := l.get(textKey{a.Part, a.Offset, a.Item}); ok {
			given = append(given, textGiven{a, text})
		}
	}
	data, err := json.Marshal(given)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	_, _ = w.Write(data) // the peer sees an answer that is cut off by its length
}

func compareRefs(a, b *jobs.TextRef) int {
	return cmp.Or(cmp.Compare(a.Partition, b.Partition), cmp.Compare(a.Offset, b.Offset))
}

// read reads the first of some texts, which are in the order of the log, and those
// beside it. It returns those that are still missing.
func (l *Library) read(ctx context.Context, missing []*jobs.Result) ([]*jobs.Result, error) {
	first := missing[0].Ref
	textReads.Add(1)
	page, err := l.log.readMost(ctx, textStream(first.Partition), first.Offset, readFor(missing), 0)
	if err != nil {
		return nil, errors.Trace(err)
	}
	for _, rec := range page.Records {
		record, err := jobs.DecodeText(rec.Data)
		if err != nil {
			recordsBad.Add(1)
			continue // another record's fault; ours shows as missing below
		}
		for _, text := range record.Texts {
			l.put(textKey{first.Partition, rec.Offset, text.Item}, text.Text)
		}
	}
	left := slices.DeleteFunc(slices.Clone(missing), func(r *jobs.Result) bool {
		return r.Ref.Partition == first.Partition && r.Ref.Offset < page.Next && l.has(keyOf(r))
	})
	if len(left) > 0 && left[0].Ref.Partition == first.Partition && left[0].Ref.Offset < page.Next {
		return nil, errors.NotFoundf("text of item %s at offset %d", left[0].Item, left[0].Ref.Offset)
	}
	return left, nil
}

func (l *Library) has(key textKey) bool {
	_, ok := l.get(key)
	return ok
}

// readFor returns how many KB are likely to hold the texts of the first's partition.
func readFor(missing []*jobs.Result) int {
	size := 0
	for _, r := range missing {
		if r.Ref.Partition == missing[0].Ref.Partition {
			size += besideTexts * r.Ref.Bytes
		}
	}
	return max(textReadsKB, size>>10)
}
