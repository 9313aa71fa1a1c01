package jobs

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"dandelionsill.org/base/metrics"
	"dandelionsill.org/base/outbound"
	"dandelionsill.org/decide/residency"
	"dandelionsill.org/fold/jobs"
)

// Texts and items of jobs with allowed regions are in streams that only processes of these regions
// read, because a read also returns records of other jobs. A process elsewhere, to which a client
// of the job is connected, asks one of them for what its client has asked for.

// Paths at which a process serves texts, and bodies of items, that it reads from the log for a peer.
const (
	PathHeldTexts = PathTexts + "/held"
	PathHeldItem  = PathTexts + "/item"
)

const (
	// maxHolders bounds the processes that are asked for the same texts.
	maxHolders = 3
	// holderTimeout bounds a call: a round trip between regions and a read of the log.
	holderTimeout = 900 * time.Millisecond
	// maxItemBytes bounds the body of an item.
	maxItemBytes = 32 << 20
)

var (
	heldReads    = metrics.Counter("jobs_held_reads_total")
	heldFailures = metrics.Counter("jobs_held_reads_failed_total")
)

// errNoHolder: no process is known in the regions of a stream.
var errNoHolder = errors.New("no process in the regions of the texts answers")

// mayRead reports whether this process may read and keep texts of streams with this key of regions.
func (c *TextCache) mayRead(regions string) bool {
	return regions == "" || c.places.allows(residency.ParseKey(regions))
}

// holders returns some processes in the regions of a stream, in random order.
func (c *TextCache) holders(regions string) []string {
	addrs := slices.Clone(c.places.peersIn(residency.ParseKey(regions)))
	rand.Shuffle(len(addrs), func(i, j int) { addrs[i], addrs[j] = addrs[j], addrs[i] })
	return addrs[:min(len(addrs), maxHolders)]
}

// fillFromHolders asks processes that may read the missing texts.
func (f *textFill) fillFromHolders(ctx context.Context) {
	foreign := func() []*jobs.Result {
		return slices.DeleteFunc(f.missing(), func(r *jobs.Result) bool { return f.cache.mayRead(r.Ref.Regions) })
	}
	for missing := foreign(); len(missing) > 0; missing = foreign() {
		regions := missing[0].Ref.Regions
		missing = slices.DeleteFunc(missing, func(r *jobs.Result) bool { return r.Ref.Regions != regions })
		if err := f.askHolders(ctx, regions, missing); err != nil {
			f.err = err
			return
		}
	}
}

// askHolders asks processes for the missing texts of streams with the same regions, until all are there.
func (f *textFill) askHolders(ctx context.Context, regions string, missing []*jobs.Result) error {
	var err error = errNoHolder
	for _, addr := range f.cache.holders(regions) {
		if ctx.Err() != nil {
			return errors.Trace(ctx.Err())
		}
		for _, call := range groupTextCalls(missing, func(string) string { return addr }) {
			var returned []returnedText
			if returned, err = f.cache.callHolder(ctx, call); err != nil {
				break
			}
			f.add(returned)
		}
		missing = slices.DeleteFunc(missing, func(r *jobs.Result) bool { return r.Text != "" })
		if len(missing) == 0 {
			return nil
		}
		if err == nil {
			err = errors.NotFoundf("text of item %s at offset %d", missing[0].Item, missing[0].Ref.Offset)
		}
	}
	return err
}

func (c *TextCache) callHolder(ctx context.Context, call textCall) ([]returnedText, error) {
	heldReads.Add(1)
	returned, err := c.callPeer(ctx, c.holderHTTP, PathHeldTexts, call)
	if err != nil && ctx.Err() == nil { // otherwise the client has gone
		heldFailures.Add(1)
		c.zlog.Info("A process in the regions of texts did not return them.", zap.String("addr", call.addr), zap.Int("texts", len(call.texts)), zap.Error(err))
	}
	return returned, err
}

// ServeHeldTexts returns texts to a peer that may not read them, from memory or the log.
func (c *TextCache) ServeHeldTexts(w http.ResponseWriter, r *http.Request) {
	var requested []requestedText
	if !decodeCall(w, r, &requested) {
		return
	}
	f := &textFill{cache: c}
	for _, t := range requested {
		if !c.mayRead(t.Regions) {
			http.Error(w, "this process may not read these texts", http.StatusForbidden)
			return
		}
		ref := &jobs.TextRef{Regions: t.Regions, Partition: t.Part, Offset: t.Offset, Bytes: 1} // their size is not known
		f.results = append(f.results, jobs.Result{Item: t.Item, Ref: ref})
	}
	f.fillFromMemory()
	f.fillFromLog(r.Context())
	returned := make([]returnedText, 0, len(requested))
	for i := range f.results {
		if f.results[i].Text != "" {
			returned = append(returned, returnedText{requested[i], f.results[i].Text})
		}
	}
	if len(returned) == 0 && f.err != nil {
		http.Error(w, f.err.Error(), http.StatusServiceUnavailable)
		return
	}
	writeTexts(w, returned)
}

// heldItem identifies an item in a call for its body.
type heldItem struct {
	Job  string       `json:"job"`
	Item string       `json:"item"`
	Ref  jobs.TextRef `json:"ref"` // of the job's items
}

// fetchItemBody returns the body of an item that this process may not read.
func (c *TextCache) fetchItemBody(ctx context.Context, job, item string, ref jobs.TextRef) ([]byte, error) {
	var err error = errNoHolder
	for _, addr := range c.holders(ref.Regions) {
		var body []byte
		heldReads.Add(1)
		if body, err = c.callForBody(ctx, addr, heldItem{job, item, ref}); err == nil {
			return body, nil
		}
		heldFailures.Add(1)
		c.zlog.Info("A process in the regions of an item did not return its body.", zap.String("id", item), zap.String("job", job), zap.String("addr", addr), zap.Error(err))
	}
	return nil, err
}

func (c *TextCache) callForBody(ctx context.Context, addr string, item heldItem) ([]byte, error) {
	resp, err := post(ctx, c.holderHTTP, addr, PathHeldItem, item)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	body, err := outbound.ReadBody(resp.Body, maxItemBytes)
	return body, errors.Trace(err)
}

// ServeHeldItem returns the body of an item to a peer that may not read it.
func (c *TextCache) ServeHeldItem(w http.ResponseWriter, r *http.Request) {
	var wanted heldItem
	if !decodeCall(w, r, &wanted) {
		return
	}
	if !c.mayRead(wanted.Ref.Regions) {
		http.Error(w, "this process may not read this item", http.StatusForbidden)
		return
	}
	item, err := readItem(r.Context(), c.log, wanted.Job, wanted.Item, wanted.Ref)
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(item.Body)))
	_, _ = w.Write(item.Body) // the peer detects a truncated answer by its length
}
