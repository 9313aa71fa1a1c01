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
	// organisation is the large organisation, to which most clients belong.
	organisation = "shop"
	// keysPerConfig is the number of keys in a configuration. Each new configuration
	// adds a key and drops the oldest one.
	keysPerConfig = 4
	// invalidKey is a key that no configuration contains.
	invalidKey = "key-stolen"
	// usageWindow is short, so that a run has several windows.
	usageWindow = time.Second
	// minHolderGap is the minimum time between calls of a duty's previous holder and
	// of its next one; it is also the gateways' lease time.
	minHolderGap = 1500 * time.Millisecond
)

// smallOrganisations have one caller each in a burst, and one key for good.
var smallOrganisations = []string{"small-1", "small-2", "small-3"}

// configWithKeys returns a configuration that contains the key of its version and
// those of the versions before.
func configWithKeys(version int) map[string]any {
	var keys []string
	for i := range keysPerConfig {
		keys = append(keys, keyForVersion(version-i))
	}
	all := map[string][]string{organisation: keys}
	for _, name := range smallOrganisations {
		all[name] = []string{"key-" + name}
	}
	return hostedtest.Organisations(hostedtest.Config(version), all)
}

func keyForVersion(version int) string { return fmt.Sprintf("key-%d", version) }

// applyNextConfig stores the next configuration and returns its version. Clients use
// a key that the previous and the next configuration contain as well.
func (sys *system) applyNextConfig() int {
	version := int(sys.config.Add(1))
	sys.store.Put(hostedtest.TopicOperator, "config", configWithKeys(version))
	return version
}

// currentKey returns the key that clients send now.
func (sys *system) currentKey() string { return keyForVersion(int(sys.config.Load()) - 1) }

// key returns the key that the client sends now.
func (c *client) key() string {
	if c.org == organisation {
		return c.sys.currentKey()
	}
	return "key-" + c.org
}

// dutySettings returns settings with which a gateway reports usage through its own
// link.
func (sys *system) dutySettings(name string) string {
	l := newLink(sys.t, name+"-duties", sys.duties.Addr())
	sys.links = append(sys.links, l)
	return fmt.Sprintf("[duties]\nplatform = %s\nusage_window = %v\nusage_late = 4s\nlease = %v\n", l.addr, usageWindow, minHolderGap)
}

// sendWithInvalidKey sends requests with invalidKey and a forged organisation header
// until ctx ends. None may be served.
func (c *client) sendWithInvalidKey(ctx context.Context) {
	for n := 0; ctx.Err() == nil; n++ {
		id := fmt.Sprintf("intruder-%d", n)
		status, _, _ := c.askAs(ctx, c.randomGateway(), http.MethodPost, "/write/x", id, nil, http.Header{
			hostedtest.HeaderKey: {invalidKey}, hostedtest.HeaderOrganisation: {organisation},
		})
		if status == http.StatusOK {
			c.rec.reportViolation("request %s ran with a key that no configuration contains", id)
		}
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(20+c.rng.IntN(100)) * time.Millisecond):
		}
	}
}

// waitForKeys replaces all keys and waits until each gateway refuses a removed key and
// accepts an added one.
func (sys *system) waitForKeys(rec *record, seed uint64) {
	c := newClient(sys, rec, seed, 5000)
	removedKey := sys.currentKey()
	for range keysPerConfig {
		sys.applyNextConfig()
	}
	for _, g := range sys.gatewayProcs {
		status := func(key string) int {
			got, _, _ := c.askAs(context.Background(), g, http.MethodPost, "/write/x", "keys", nil, http.Header{hostedtest.HeaderKey: {key}})
			return got
		}
		require.Eventually(sys.t, func() bool {
			return status(removedKey) == http.StatusUnauthorized && status(sys.currentKey()) == http.StatusOK
		},
			20*time.Second, 10*time.Millisecond, "keys of %s", g.name)
	}
}

// verifyUsage waits for two more usage reports and compares all reports with what the
// servers executed.
func (sys *system) verifyUsage(rec *record) {
	reports := len(sys.duties.Reports())
	require.Eventually(sys.t, func() bool { return len(sys.duties.Reports()) >= reports+2 }, 30*time.Second, 20*time.Millisecond, "usage is not reported")
	for _, fault := range sys.duties.Violations() {
		rec.reportViolation("duty: %s", fault)
	}
	executed := map[string]bool{}
	for _, s := range append(append([]*hostedtest.Server(nil), sys.services...), sys.crashing.allEverStarted()...) {
		for _, a := range s.Arrivals() {
			sys.verifyArrival(rec, a)
			executed[a.ID] = executed[a.ID] || a.Executed && a.Header.Get(hostedtest.HeaderOrganisation) == organisation
		}
	}
	var ran, counted uint64
	for _, hasRun := range executed {
		if hasRun {
			ran++
		}
	}
	for _, u := range sys.duties.Reports() {
		counted += u.Counts[organisation]
	}
	// The counts may differ where one id had two attempts, a caller got no answer, or a
	// process was killed between a run and its count.
	if counted > ran+ran/10+20 {
		rec.reportViolation("usage: %d requests reported, %d executed", counted, ran)
	}
}

// verifyArrival checks that a server received no key of a caller and no organisation
// other than that of the request's sender.
func (sys *system) verifyArrival(rec *record, a hostedtest.Arrival) {
	if len(a.Header.Values(hostedtest.HeaderKey)) > 0 {
		rec.reportViolation("request %s: a server got the caller's key", a.ID)
	}
	name, sender := a.Header.Get(hostedtest.HeaderOrganisation), senderOf(a.ID)
	if a.URI == "/write/x" && name != sender || name != "" && name != sender {
		rec.reportViolation("request %s: a server received the organisation %q", a.ID, name)
	}
}
