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
	eventsKept = 4096
	kvKept     = 512 // ended streams whose KV cache can still be exported
)

// prefixCache is a bounded LRU of prompt prefixes.
type prefixCache struct {
	limit  int
	order  *list.List // of uint64; most recent first
	at     map[uint64]*list.Element
	seq    uint64
	events []timedEvent
}

type timedEvent struct {
	at time.Time
	platform.CacheEvent
}

func newPrefixCache(limit int) prefixCache {
	return prefixCache{limit: limit, order: list.New(), at: map[uint64]*list.Element{}}
}

func (c *prefixCache) has(prefix uint64) bool { return c.at[prefix] != nil }

// touch makes a prefix the most recent one and returns what came and went.
func (c *prefixCache) touch(prefix uint64) []platform.CacheEvent {
	if el := c.at[prefix]; el != nil {
		c.order.MoveToFront(el)
		return nil
	}
	if c.limit <= 0 {
		return nil
	}
	events := []platform.CacheEvent{{Prefix: prefix}}
	c.at[prefix] = c.order.PushFront(prefix)
	if c.order.Len() > c.limit {
		oldest := c.order.Remove(c.order.Back()).(uint64)
		delete(c.at, oldest)
		events = append(events, platform.CacheEvent{Prefix: oldest, Evicted: true})
	}
	return events
}

// cacheEvents publishes events; a lost one leaves a gap in the sequence.
func (e *Engine) cacheEvents(events []platform.CacheEvent) {
	c := &e.cache
	for _, ev := range events {
		c.seq++
		ev.Seq = c.seq
		if e.rng.Float64() >= e.cfg.EventLossShare {
			c.events = append(c.events, timedEvent{time.Now(), ev})
		}
	}
	if n := len(c.events); n > 2*eventsKept {
		c.events = append([]timedEvent{}, c.events[n-eventsKept:]...)
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

// kvHeader is the first line of an exported KV cache; padding follows it.
type kvHeader struct {
	Prompt uint64 `json:"prompt"`
	Seed   uint64 `json:"seed"`
	Tokens int    `json:"tokens"` // output tokens covered
}

// kvStore remembers the last ended streams.
type kvStore struct {
	byID map[string]kvHeader
	ids  []string
}

func newKVStore() kvStore { return kvStore{byID: map[string]kvHeader{}} }

func (k *kvStore) keep(s *stream) {
	if !s.ready {
		return
	}
	if _, again := k.byID[s.job.ID]; !again {
		k.ids = append(k.ids, s.job.ID)
	}
	k.byID[s.job.ID] = kvOf(s)
	if len(k.ids) > kvKept {
		delete(k.byID, k.ids[0])
		k.ids = k.ids[1:]
	}
}

func kvOf(s *stream) kvHeader {
	return kvHeader{Prompt: truth.PromptHash(s.job.Prompt), Seed: s.job.Seed, Tokens: s.next}
}

func (e *Engine) findKV(id string) (kvHeader, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range e.byID(id) {
		if s.ready {
			return kvOf(s), true
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

// kvCovers returns the output tokens that a job's imported KV cache covers. A
// cache of another prompt or seed is not used.
func kvCovers(j job) (int, bool) {
	line, _, ok := bytes.Cut(j.KV, []byte("\n"))
	var h kvHeader
	if !ok || json.Unmarshal(line, &h) != nil {
		return 0, false
	}
	return h.Tokens, h.Prompt == truth.PromptHash(j.Prompt) && h.Seed == j.Seed
}
