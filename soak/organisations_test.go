package soak

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/stretchr/testify/require"

	"dandelionsill.org/platform/hosted/hostedtest"
)

const (
	// organisation is whose callers all clients but the intruder are.
	organisation = "shop"
	// keysValid is how many keys a configuration holds; each one drops the oldest.
	keysValid = 4
	// stolen is a key that no configuration ever holds.
	stolen = "key-stolen"
	// usageWindow is short, so that several windows fall into a run.
	usageWindow = time.Second
	// leaseTurns is the least time between the calls of two holders that take turns.
	leaseTurns = 1500 * time.Millisecond
)

// config is a configuration with the keys of its number and of those before.
func config(version int) map[string]any {
	var keys []string
	for i := range keysValid {
		keys = append(keys, keyOf(version-i))
	}
	return hostedtest.Organisations(hostedtest.Config(version), map[string][]string{organisation: keys, "other": {"key-other"}})
}

func keyOf(version int) string { return fmt.Sprintf("key-%d", version) }

// configure puts the next configuration in force. Clients use a key that the
// configurations before and behind hold as well.
func (w *world) configure() int {
	version := int(w.config.Add(1))
	w.store.Put(hostedtest.TopicOperator, "config", config(version))
	return version
}

// key is what clients send now.
func (w *world) key() string { return keyOf(int(w.config.Load()) - 1) }

// dutySettings lets a gateway report usage through a link of its own.
func (w *world) dutySettings(name string) string {
	l := newLink(w.t, name+"-duties", w.duties.Addr())
	w.links = append(w.links, l)
	return fmt.Sprintf("[duties]\nplatform = %s\nusage_window = %v\nusage_late = 4s\nlease = %v\n", l.addr, usageWindow, leaseTurns)
}

// intrudes sends requests with a key that nobody was given, and with another
// organisation's name, until ctx ends.
func (c *client) intrudes(ctx context.Context) {
	for n := 0; ctx.Err() == nil; n++ {
		id := fmt.Sprintf("intruder-%d", n)
		status, _, _ := c.askAs(ctx, c.gate(), http.MethodPost, "/write/x", id, nil, http.Header{
			hostedtest.HeaderKey: {stolen}, hostedtest.HeaderOrganisation: {organisation},
		})
		if status == http.StatusOK {
			c.rec.breach("request %s ran with a key that no configuration held", id)
		}
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(20+c.rng.IntN(100)) * time.Millisecond):
		}
	}
}

// settleKeys waits until each gateway refuses a key that was taken away, and serves one
// that was added.
func (w *world) settleKeys(rec *record, seed uint64) {
	c := newClient(w, rec, seed, 5000)
	gone := w.key()
	for range keysValid {
		w.configure()
	}
	for _, g := range w.gates {
		status := func(key string) int {
			got, _, _ := c.askAs(context.Background(), g, http.MethodPost, "/write/x", "keys", nil, http.Header{hostedtest.HeaderKey: {key}})
			return got
		}
		require.Eventually(w.t, func() bool { return status(gone) == http.StatusUnauthorized && status(w.key()) == http.StatusOK },
			20*time.Second, 10*time.Millisecond, "keys of %s", g.name)
	}
}

// settleUsage waits until usage is reported again, and holds the reports against what
// the servers began.
func (w *world) settleUsage(rec *record) {
	reports := len(w.duties.Reports())
	require.Eventually(w.t, func() bool { return len(w.duties.Reports()) >= reports+2 }, 30*time.Second, 20*time.Millisecond, "usage is not reported")
	for _, fault := range w.duties.Violations() {
		rec.breach("duty: %s", fault)
	}
	began := map[string]bool{}
	for _, s := range append(append([]*hostedtest.Server(nil), w.plain...), w.mortal.everyone()...) {
		for _, a := range s.Arrivals() {
			w.verifyArrival(rec, a)
			began[a.ID] = began[a.ID] || a.Executed && a.Header.Get(hostedtest.HeaderOrganisation) == organisation
		}
	}
	var ran, counted uint64
	for _, is := range began {
		if is {
			ran++
		}
	}
	for _, u := range w.duties.Reports() {
		counted += u.Counts[organisation]
	}
	// Two attempts of one id, a caller that is left without an answer and a process that
	// dies between a run and its count are the differences that may be.
	if counted > ran+ran/10+20 {
		rec.breach("usage: %d requests reported, %d began", counted, ran)
	}
}

// verifyArrival holds what a server was told of a caller against who sent the request.
func (w *world) verifyArrival(rec *record, a hostedtest.Arrival) {
	if len(a.Header.Values(hostedtest.HeaderKey)) > 0 {
		rec.breach("request %s: a server got the caller's key", a.ID)
	}
	name := a.Header.Get(hostedtest.HeaderOrganisation)
	if a.URI == "/write/x" && name != organisation || name != "" && name != organisation {
		rec.breach("request %s: a server was told organisation %q", a.ID, name)
	}
}
