package forward_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dandelionsill.org/gateway/gatewaytest"
	"dandelionsill.org/platform/hosted"
	"dandelionsill.org/platform/hosted/hostedtest"
)

// readStream asks for a stream that may be resumed and returns its events and how it ended.
func readStream(t *testing.T, p *gatewaytest.Process, header http.Header) (*http.Response, []hosted.Event, error) {
	c := newCall(t, p, "s", "/chat/x")
	c.Deadline = time.Now().Add(gatewaytest.Wait)
	c.Header.Set(hostedtest.HeaderModel, "m")
	for name := range header {
		c.Header.Set(name, header.Get(name))
	}
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, err := p.Forward.Stream(r.Context(), c, w); err != nil {
			w.WriteHeader(err.Answer().HTTP)
		}
	}))
	t.Cleanup(srv.Close)
	client := &http.Client{Timeout: gatewaytest.Wait} // a stream that nobody goes on with would else hang the test
	resp, err := client.Get(srv.URL)
	require.NoError(t, err)
	t.Cleanup(func() { _ = resp.Body.Close() })
	reader := hosted.NewEventReader(resp.Body)
	var events []hosted.Event
	for {
		event, err := reader.Next()
		if err != nil {
			return resp, events, err
		}
		events = append(events, event)
	}
}

func requireEvents(t *testing.T, events []hosted.Event, first, last int) {
	require.Len(t, events, last-first+1)
	for i, event := range events {
		require.Equal(t, first+i, event.ID)
		require.Equal(t, hostedtest.EventData("s", event.ID), event.Data)
	}
}

// One engine breaks the caller's stream off, or falls silent in its middle. The
// stream goes on at the other behind the last event: the caller sees one whole
// stream, each event once.
func TestStreamResumesOnAnotherServer(t *testing.T) {
	for name, faults := range map[string]hostedtest.ServerFaults{"breaks off": {BreakAfter: 2}, "falls silent": {Mute: 2}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			pf := gatewaytest.NewPlatform(t, 2, 0)
			p := pf.NewProcess(t)
			// Whichever is asked first fails; the other is sound.
			pf.Engines[0].Fail(faults)
			pf.Engines[1].Fail(faults)
			pf.Engines[0].Events, pf.Engines[1].Events = 4, 4
			_, events, err := readStream(t, p, nil)
			require.ErrorIs(t, err, io.EOF)
			requireEvents(t, events, 1, 4)
			require.Len(t, arrivals(pf.Engines), 2)
		})
	}
}

// The engine that goes on has other weights than the one before. The first event
// that they made says so, or the caller would take it for the earlier weights'.
func TestResumedStreamReportsNewWeightVersion(t *testing.T) {
	pf := gatewaytest.NewPlatform(t, 2, 0)
	p := pf.NewProcess(t)
	for i, engine := range pf.Engines {
		engine.Fail(hostedtest.ServerFaults{BreakAfter: 2})
		engine.Events = 4
		engine.SetVersion("m", uint64(i+1))
	}
	resp, events, err := readStream(t, p, nil)
	require.ErrorIs(t, err, io.EOF)
	requireEvents(t, events, 1, 4)
	first := hosted.WeightVersion(resp.Header)
	require.Zero(t, events[1].Version)
	require.Equal(t, 3-first, events[2].Version)
	require.Zero(t, events[3].Version)
}

// A caller comes back for the rest of a stream, which breaks off again.
func TestStreamResumedByCallerIsResumedAgain(t *testing.T) {
	pf := gatewaytest.NewPlatform(t, 2, 0)
	p := pf.NewProcess(t)
	for _, engine := range pf.Engines {
		engine.Fail(hostedtest.ServerFaults{BreakAfter: 2})
		engine.Events = 6
	}
	header := http.Header{}
	hosted.SetResume(header, 2)
	_, events, err := readStream(t, p, header)
	require.ErrorIs(t, err, io.EOF)
	requireEvents(t, events, 3, 6)
}

// No server is left that goes on. The stream must not look complete.
func TestUnresumableStreamDoesNotLookComplete(t *testing.T) {
	pf := gatewaytest.NewPlatform(t, 2, 0)
	p := pf.NewProcess(t)
	for _, engine := range pf.Engines {
		engine.Fail(hostedtest.ServerFaults{BreakAfter: 1})
		engine.Events = 9
	}
	_, events, err := readStream(t, p, nil)
	require.ErrorContains(t, err, "unexpected EOF")
	requireEvents(t, events, 1, 3) // as many servers as the route allows
}
