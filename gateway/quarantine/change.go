package quarantine

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/juju/errors"

	"dandelionsill.org/decide/poison"
	"dandelionsill.org/platform"
)

// change is one server's end under a request, or the word that it is no longer put
// down to it.
type change struct {
	crash poison.Crash
	key   string // that of the crash; all that a dropped record has
	gone  bool
}

func ended(c poison.Crash) change { return change{crash: c, key: c.Key()} }

func gone(c poison.Crash) change { return change{crash: c, key: c.Key(), gone: true} }

// changeJSON is a change as peers tell it.
type changeJSON struct {
	Request string `json:"request"`
	Server  string `json:"server"`
	AtMS    int64  `json:"at_ms"` // Unix time
	Gone    bool   `json:"gone,omitempty"`
}

// MarshalJSON implements json.Marshaler.
func (c change) MarshalJSON() ([]byte, error) {
	return json.Marshal(changeJSON{string(c.crash.Request), c.crash.Server, c.crash.At.UnixMilli(), c.gone})
}

// UnmarshalJSON implements json.Unmarshaler.
func (c *change) UnmarshalJSON(data []byte) error {
	var in changeJSON
	if err := json.Unmarshal(data, &in); err != nil {
		return errors.Trace(err)
	}
	if in.Request == "" || in.Server == "" {
		return errors.NotValidf("server's end without a request or a server")
	}
	crash := poison.Crash{Request: poison.Name(in.Request), Server: in.Server, At: time.UnixMilli(in.AtMS)}
	*c = change{crash: crash, key: crash.Key(), gone: in.Gone}
	return nil
}

// record is the change as the store keeps it. Each server's end has a key of its own,
// so that no writer undoes what another one wrote.
func (c change) record() (platform.KeyedRecord, error) {
	r := platform.KeyedRecord{Key: c.key}
	if c.gone {
		return r, nil
	}
	value, err := json.Marshal(c)
	r.Value = value
	return r, errors.Trace(err)
}

// fromRecord reads a change of the store; false: it is none.
func fromRecord(r platform.KeyedRecord) (change, bool) {
	request, _, found := strings.Cut(r.Key, "/")
	if !found {
		return change{}, false
	}
	if len(r.Value) == 0 {
		return change{crash: poison.Crash{Request: poison.Name(request)}, key: r.Key, gone: true}, true
	}
	var c change
	if err := json.Unmarshal(r.Value, &c); err != nil || c.key != r.Key {
		return change{}, false
	}
	return c, true
}

// queueMost bounds a queue. What a flood pushes out is known to this process only.
const queueMost = 1024

// queue holds changes until they are told. Its owner's lock guards it.
type queue struct {
	changes []change
	wake    chan struct{}
}

func newQueue() queue { return queue{wake: make(chan struct{}, 1)} }

func (q *queue) add(changes ...change) {
	q.changes = append(q.changes, changes...)
	if over := len(q.changes) - queueMost; over > 0 {
		changesLost.Add(int64(over))
		q.changes = q.changes[over:]
	}
	select {
	case q.wake <- struct{}{}:
	default: // whoever takes from it is awake
	}
}

// take removes the first changes, at most so many.
func (q *queue) take(most int) []change {
	n := min(most, len(q.changes))
	taken := q.changes[:n:n]
	q.changes = q.changes[n:]
	return taken
}
