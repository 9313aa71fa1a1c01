package quarantine

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/juju/errors"

	"dandelionsill.org/decide/poison"
	"dandelionsill.org/platform"
)

// Change is one server's end under a request, or the word that it is no longer
// attributed to it.
type Change struct {
	Crash poison.Crash
	Gone  bool
	// droppedKey is the key of a record of which the store has nothing else.
	droppedKey string
}

// Key names the crash among all.
func (c *Change) Key() string {
	if c.droppedKey != "" {
		return c.droppedKey
	}
	return c.Crash.Key()
}

// changeJSON is a change as peers tell it.
type changeJSON struct {
	Request string `json:"request"`
	Server  string `json:"server"`
	AtMS    int64  `json:"at_ms"` // Unix time
	Gone    bool   `json:"gone,omitempty"`
}

// MarshalJSON implements json.Marshaler.
func (c Change) MarshalJSON() ([]byte, error) {
	return json.Marshal(changeJSON{string(c.Crash.Request), c.Crash.Server, c.Crash.At.UnixMilli(), c.Gone})
}

// UnmarshalJSON implements json.Unmarshaler.
func (c *Change) UnmarshalJSON(data []byte) error {
	var in changeJSON
	if err := json.Unmarshal(data, &in); err != nil {
		return errors.Trace(err)
	}
	if in.Request == "" || in.Server == "" {
		return errors.NotValidf("server's end without a request or a server")
	}
	*c = Change{Crash: poison.Crash{Request: poison.Fingerprint(in.Request), Server: in.Server, At: time.UnixMilli(in.AtMS)}, Gone: in.Gone}
	return nil
}

// encode is the change as the store keeps it. Each server's end has a key of its own,
// so that no writer undoes what another one wrote.
func (c *Change) encode() (platform.KeyedRecord, error) {
	r := platform.KeyedRecord{Key: c.Key()}
	if c.Gone {
		return r, nil
	}
	value, err := json.Marshal(*c)
	r.Value = value
	return r, errors.Trace(err)
}

// decodeChange reads a change of the store; false: it is none.
func decodeChange(r platform.KeyedRecord) (Change, bool) {
	request, _, found := strings.Cut(r.Key, "/")
	if !found {
		return Change{}, false
	}
	if len(r.Value) == 0 {
		return Change{Crash: poison.Crash{Request: poison.Fingerprint(request)}, Gone: true, droppedKey: r.Key}, true
	}
	var c Change
	if err := json.Unmarshal(r.Value, &c); err != nil || c.Key() != r.Key {
		return Change{}, false
	}
	return c, true
}

// maxQueue bounds a queue. What a flood pushes out is known to this process only.
const maxQueue = 1024

// queue holds changes until they are told. Its owner's lock guards it.
type queue struct {
	changes []Change
	wake    chan struct{}
}

func newQueue() queue { return queue{wake: make(chan struct{}, 1)} }

func (q *queue) add(changes ...Change) {
	q.changes = append(q.changes, changes...)
	if excess := len(q.changes) - maxQueue; excess > 0 {
		changesDropped.Add(int64(excess))
		q.changes = q.changes[excess:]
	}
	select {
	case q.wake <- struct{}{}:
	default: // whoever takes from it is awake
	}
}

// take removes the first changes, at most so many.
func (q *queue) take(maxChanges int) []Change {
	n := min(maxChanges, len(q.changes))
	taken := q.changes[:n:n]
	q.changes = q.changes[n:]
	return taken
}
