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

	"dandelionsill.org/base/outbound"
	"dandelionsill.org/fold/jobs"
	"dandelionsill.org/gateway/link"
)

// Limits of calls for texts.
const (
	// maxWriterWait is how long the writers of texts may take before the log is asked: about
	// ten times the usual duration of an answer, with 64 KB over the slowest link.
	maxWriterWait = 150 * time.Millisecond
	// peerTimeout bounds a call to a peer, a few milliseconds away, if the log does not
	// answer.
	peerTimeout = 300 * time.Millisecond
	// maxConcurrentCalls bounds the concurrent calls for texts.
	maxConcurrentCalls = 4
	// maxCallBytes bounds the texts of one call: 10 ms over a link of 60 Mbit/s.
	maxCallBytes = 64 << 10
	// maxCallTexts bounds the number of texts of one call, so that the request for many
	// short texts is not larger than its answer.
	maxCallTexts = 256
	// minTextReadKB is the minimum size of a read of texts: texts that were appended together
	// are in one record of up to 96 KB.
	minTextReadKB = 128
	// textReadFactor is the number of stored bytes to read for each byte of a job's texts: the
	// stream also contains the same events as they arrived, and other jobs of the partition.
	textReadFactor = 3
)

// PathTexts is the path at which a process serves texts to its peers.
const PathTexts = "/texts"

// requestedText identifies a text in a call to the process that wrote it.
type requestedText struct {
	Part   int    `json:"part"`
	Offset uint64 `json:"offset"`
	Item   string `json:"item"`
	// Regions is the key of the regions of the text's stream; empty: every region.
	Regions string `json:"regions,omitempty"`
}

func (t *requestedText) key() textKey {
	return textKey{textPart{t.Regions, t.Part}, t.Offset, t.Item}
}

// returnedText is a text in the answer, which omits those that the process no longer has.
type returnedText struct {
	requestedText
	Text string `json:"text"`
}

// textCall is one call to a peer.
type textCall struct {
	addr  string
	texts []requestedText
	bytes int // of the texts
}

// Sizes of an answer with texts, in bytes.
const (
	// maxEscapedBytes is the length of a byte of a text in JSON at most.
	maxEscapedBytes = 6
	// maxFrameBytes is more than what identifies a text in the answer.
	maxFrameBytes = 4 << 10
)

// maxAnswerBytes returns the most that the answer to the call has, in bytes.
func (c *textCall) maxAnswerBytes() int64 {
	return int64(maxEscapedBytes*c.bytes + maxFrameBytes*(1+len(c.texts)))
}

// groupTextCalls distributes texts to calls to their writers; texts whose writer has no known
// address are left out.
func groupTextCalls(missing []*jobs.Result, peerAddr func(node string) string) []textCall {
	var calls []textCall
	openCall := map[string]int{} // index of the call that is not full, by address
	size := map[string]int{}
	for _, r := range missing {
		addr := peerAddr(r.Writer)
		if addr == "" {
			continue
		}
		at, ok := openCall[addr]
		if !ok || size[addr]+r.Ref.Bytes > maxCallBytes || len(calls[at].texts) == maxCallTexts {
			at = len(calls)
			calls = append(calls, textCall{addr: addr})
			openCall[addr], size[addr] = at, 0
		}
		size[addr] += r.Ref.Bytes
		calls[at].bytes += r.Ref.Bytes
		calls[at].texts = append(calls[at].texts, requestedText{Part: r.Ref.Partition, Offset: r.Ref.Offset, Item: r.Item, Regions: r.Ref.Regions})
	}
	return calls
}

// fetchFromPeer requests texts from a peer and returns those that it has. After a failure the texts
// are read from the log.
func (c *TextCache) fetchFromPeer(ctx context.Context, call textCall) []returnedText {
	returned, err := c.callPeer(ctx, c.http, PathTexts, call)
	if err != nil {
		textCallsFailed.Add(1)
		c.zlog.Info("Fetching texts from their writer failed.", zap.String("addr", call.addr), zap.Int("texts", len(call.texts)), zap.Error(err))
	}
	textsFromPeer.Add(int64(len(returned)))
	return returned
}

// callPeer requests texts from a peer at one of its paths.
func (c *TextCache) callPeer(ctx context.Context, client *http.Client, path string, call textCall) ([]returnedText, error) {
	resp, err := post(ctx, client, call.addr, path, call.texts)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	data, err := outbound.ReadBody(resp.Body, call.maxAnswerBytes())
	if err != nil {
		return nil, err
	}
	// A truncated answer is an error, because the answer states its length.
	var returned []returnedText
	if err := json.Unmarshal(data, &returned); err != nil {
		return nil, errors.Trace(err)
	}
	if c.neighbours.isFarAddr(call.addr) {
		for i := range returned {
			link.Record(link.Texts, len(returned[i].Text))
		}
	}
	return returned, nil
}

// post sends a value to a peer. The caller has to close the body of the answer, which is a success.
func post(ctx context.Context, client *http.Client, addr, path string, value any) (*http.Response, error) {
	body, err := json.Marshal(value)
	if err != nil {
		return nil, errors.Trace(err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Trace(err)
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if resp.StatusCode != http.StatusOK {
		resp.Body.Close()
		return nil, errors.Errorf("peer %s: status %d", addr, resp.StatusCode)
	}
	return resp, nil
}

// decodeCall decodes the body of a peer's call. It returns false if it has answered that the body is
// invalid.
func decodeCall(w http.ResponseWriter, r *http.Request, value any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxCallBytes)).Decode(value)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
	return err == nil
}

// ServeHTTP returns the texts that this process has in memory to a peer.
func (c *TextCache) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var requested []requestedText
	if !decodeCall(w, r, &requested) {
		return
	}
	returned := make([]returnedText, 0, len(requested))
	for _, a := range requested {
		if text, ok := c.get(a.key()); ok {
			returned = append(returned, returnedText{a, text})
		}
	}
	writeTexts(w, returned)
}

// writeTexts writes an answer to a peer.
func writeTexts(w http.ResponseWriter, returned []returnedText) {
	data, err := json.Marshal(returned)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	_, _ = w.Write(data) // the peer detects a truncated answer by its length
}

func compareRefs(a, b *jobs.TextRef) int {
	return cmp.Or(cmp.Compare(a.Regions, b.Regions), cmp.Compare(a.Partition, b.Partition), cmp.Compare(a.Offset, b.Offset))
}

// readFromLog reads the first of the missing texts, which are sorted by their place in the log,
// and those that are stored near it. It returns those that are still missing. The texts are given
// to the results as they are read, since the cache may have no room for all of them.
func (c *TextCache) readFromLog(ctx context.Context, missing []*jobs.Result) ([]*jobs.Result, error) {
	first := missing[0].Ref
	textReads.Add(1)
	page, err := c.log.readUpTo(ctx, textPartOf(first).stream(), first.Offset, textReadKB(missing), 0)
	if err != nil {
		return nil, errors.Trace(err)
	}
	wanted := make(map[textKey]*jobs.Result, len(missing))
	for _, r := range missing {
		wanted[keyOf(r)] = r
	}
	for _, rec := range page.Records {
		record, err := jobs.DecodeText(rec.Data)
		if err != nil {
			recordsBad.Add(1)
			continue // another record's error; a missing text is reported below
		}
		for _, text := range record.Texts {
			key := textKey{textPartOf(first), rec.Offset, text.Item}
			if r := wanted[key]; r != nil {
				r.Text = text.Text
			}
			c.put(key, text.Text)
		}
	}
	remaining := slices.DeleteFunc(slices.Clone(missing), func(r *jobs.Result) bool {
		return textPartOf(r.Ref) == textPartOf(first) && r.Ref.Offset < page.Next && r.Text != ""
	})
	if len(remaining) > 0 && textPartOf(remaining[0].Ref) == textPartOf(first) && remaining[0].Ref.Offset < page.Next {
		return nil, errors.NotFoundf("text of item %s at offset %d", remaining[0].Item, remaining[0].Ref.Offset)
	}
	return remaining, nil
}

// textReadKB returns how many KB likely hold the missing texts of the first one's partition.
func textReadKB(missing []*jobs.Result) int {
	size := 0
	for _, r := range missing {
		if textPartOf(r.Ref) == textPartOf(missing[0].Ref) {
			size += textReadFactor * r.Ref.Bytes
		}
	}
	return max(minTextReadKB, size>>10)
}
