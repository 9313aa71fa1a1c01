package engine

import (
	"bytes"
	"container/list"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"dandelionsill.org/platform"
	"dandelionsill.org/standin/truth"
	"dandelionsill.org/standin/web"
)

const (
	maxCacheEvents = 4096
	maxKVHeaders   = 512 // ended streams whose KV cache can be exported
)

// prefixCache is a bounded LRU cache of prompt prefixes, identified by their hash.
type prefixCache struct {
	maxPrefixes int
	order       *list.List // values are uint64; most recently used first
	elements    map[uint64]*list.Element
	seq         uint64
	events      []timedEvent
}

type timedEvent struct {
	at time.Time
	platform.CacheEvent
}

func newPrefixCache(limit int) prefixCache {
	return prefixCache{maxPrefixes: limit, order: list.New(), elements: map[uint64]*list.Element{}}
}

func (c *prefixCache) contains(prefix uint64) bool { return c.elements[prefix] != nil }

// touch makes a prefix the most recently used one, adding it if needed, and
// returns events for the prefixes added and evicted.
func (c *prefixCache) touch(prefix uint64) []platform.CacheEvent {
	if el := c.elements[prefix]; el != nil {
		c.order.MoveToFront(el)
		return nil
	}
	if c.maxPrefixes <= 0 {
		return nil
	}
	events := []platform.CacheEvent{{Prefix: prefix}}
	c.elements[prefix] = c.order.PushFront(prefix)
	if c.order.Len() > c.maxPrefixes {
		oldest := c.order.Remove(c.order.Back()).(uint64)
		delete(c.elements, oldest)
		events = append(events, platform.CacheEvent{Prefix: oldest, Evicted: true})
	}
	return events
}

// publishCacheEvents numbers and publishes events. A random share of them is
// lost, which leaves a gap in the sequence numbers.
func (e *Engine) publishCacheEvents(events []platform.CacheEvent) {
	c := &e.cache
	for _, ev := range events {
		c.seq++
		ev.Seq = c.seq
		if e.rng.Float64() >= e.cfg.EventLossShare {
			c.events = append(c.events, timedEvent{time.Now(), ev})
		}
	}
	if n := len(c.events); n > 2*maxCacheEvents {
		c.events = append([]timedEvent{}, c.events[n-maxCacheEvents:]...)
	}
}

func (e *Engine) getEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	visible := time.Now().Add(-e.scaled(e.cfg.EventLag))
	out := struct {
		Events []platform.CacheEvent `json:"events"`
	}{[]platform.CacheEvent{}}
	e.mu.Lock()
	for _, ev := range e.cache.events {
		if ev.Seq > after && !ev.at.After(visible) {
			out.Events = append(out.Events, ev.CacheEvent)
		}
	}
	e.mu.Unlock()
	web.JSON(w, http.StatusOK, out)
}

// kvHeader is the first line of an exported KV cache. The rest is padding that
// gives the export a realistic size.
type kvHeader struct {
	Prompt uint64 `json:"prompt"`
	Seed   uint64 `json:"seed"`
	Tokens int    `json:"tokens"` // output tokens that the cache covers
}

// kvStore holds the KV headers of the last maxKVHeaders ended streams.
type kvStore struct {
	byID     map[string]kvHeader
	endOrder []string
}

func newKVStore() kvStore { return kvStore{byID: map[string]kvHeader{}} }

// add stores the header of an ended stream, unless its prefill was incomplete.
func (k *kvStore) add(s *stream) {
	if !s.prefilled {
		return
	}
	if _, known := k.byID[s.job.ID]; !known {
		k.endOrder = append(k.endOrder, s.job.ID)
	}
	k.byID[s.job.ID] = kvHeaderOf(s)
	if len(k.endOrder) > maxKVHeaders {
		delete(k.byID, k.endOrder[0])
		k.endOrder = k.endOrder[1:]
	}
}

func kvHeaderOf(s *stream) kvHeader {
	return kvHeader{Prompt: truth.PromptHash(s.job.Prompt), Seed: s.job.Seed, Tokens: s.nextToken}
}

func (e *Engine) findKV(id string) (kvHeader, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range e.streamsByID(id) {
		if s.prefilled {
			return kvHeaderOf(s), true
		}
	}
	h, ok := e.kv.byID[id]
	return h, ok
}

func (e *Engine) getKV(w http.ResponseWriter, r *http.Request) {
	h, ok := e.findKV(r.PathValue("id"))
	if !ok {
		web.Error(w, http.StatusNotFound, "no KV cache of that id")
		return
	}
	data, err := json.Marshal(h)
	if err != nil {
		web.Error(w, http.StatusInternalServerError, err.Error())
		return
	}
	data = append(data, '\n')
	data = append(data, make([]byte, e.cfg.KVBytesPerToken*h.Tokens)...)
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	_, _ = w.Write(data)
}

// importedKVTokens returns how many output tokens a job's imported KV cache
// covers. It returns false if there is no cache, it is malformed, or it belongs to
// another prompt or seed.
func importedKVTokens(j job) (int, bool) {
	line, _, ok := bytes.Cut(j.KV, []byte("\n"))
	var h kvHeader
	if !ok || json.Unmarshal(line, &h) != nil {
		return 0, false
	}
	return h.Tokens, h.Prompt == truth.PromptHash(j.Prompt) && h.Seed == j.Seed
}
