package quarantine

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/juju/errors"

	"dandelionsill.org/decide/poison"
	"dandelionsill.org/platform"
)

// Change is a crash of a server under a request, or the removal of such a crash, which is
// then no longer attributed to the request.
type Change struct {
	Crash poison.Crash
	Gone  bool
	// droppedKey is the key of a removed crash of which the store has only the key.
	droppedKey string
}

// Key returns the key of the crash in the store.
func (c *Change) Key() string {
	if c.droppedKey != "" {
		return c.droppedKey
	}
	return c.Crash.Key()
}

// changeJSON is the encoding of a change in calls to peers and in the store.
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

// encode returns the change's record for the store. Each crash has its own key, so that no
// process overwrites what another one wrote.
func (c *Change) encode() (platform.KeyedRecord, error) {
	r := platform.KeyedRecord{Key: c.Key()}
	if c.Gone {
		return r, nil
	}
	value, err := json.Marshal(*c)
	r.Value = value
	return r, errors.Trace(err)
}

// decodeChange decodes a change from a record of the store; false: the record is not a
// valid change.
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

// maxQueue is the maximum number of changes in a queue. Changes that a flood pushes out are
// known to this process only.
const maxQueue = 1024

// queue holds changes until they are sent. It is guarded by the lock of its owner.
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
	default: // the reader has been notified already
	}
}

// take removes and returns the first changes, at most maxChanges.
func (q *queue) take(maxChanges int) []Change {
	n := min(maxChanges, len(q.changes))
	taken := q.changes[:n:n]
	q.changes = q.changes[n:]
	return taken
}
