package forward_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dandelionsill.org/gateway/forward"
	"dandelionsill.org/gateway/gatewaytest"
	"dandelionsill.org/platform/hosted"
	"dandelionsill.org/platform/hosted/hostedtest"
)

// readStream requests a resumable stream and returns its events and the error that
// ended it.
func readStream(t *testing.T, p *gatewaytest.Process, header http.Header) (*http.Response, []hosted.Event, error) {
	c := newCall(t, p, "s", "/chat/x")
	c.Deadline = time.Now().Add(gatewaytest.MaxWait)
	return readStreamOf(t, p, c, header)
}

// readStreamOf reads the stream of a call with further headers.
func readStreamOf(t *testing.T, p *gatewaytest.Process, c forward.Call, header http.Header) (*http.Response, []hosted.Event, error) {
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
	client := &http.Client{Timeout: gatewaytest.MaxWait} // otherwise a stream that is not resumed would hang the test
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

// One engine breaks the caller's stream off, or stalls in the middle of it. The stream
// is resumed at the other engine after the last event, so that the caller sees one
// complete stream with each event once.
func TestStreamResumesOnAnotherServer(t *testing.T) {
	for name, faults := range map[string]hostedtest.ServerFaults{"breaks off": {BreakAfter: 2}, "falls silent": {StallAfter: 2}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			pf := gatewaytest.NewPlatform(t, 2, 0)
			p := pf.NewProcess(t)
			// The engine that is asked first fails, the other completes the stream.
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

// The engine that resumes a stream has other weights than the one before. The first
// event made with them must carry their version, or the caller would attribute it to
// the earlier weights.
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

// A caller asks for the rest of a stream, which breaks off again.
func TestStreamResumedByCallerIsResumedAgain(t *testing.T) {
	pf := gatewaytest.NewPlatform(t, 2, 0)
	p := pf.NewProcess(t)
	for _, engine := range pf.Engines {
		engine.Fail(hostedtest.ServerFaults{BreakAfter: 2})
		engine.Events = 6
	}
	header := http.Header{}
	hosted.SetLastEventID(header, 2)
	_, events, err := readStream(t, p, header)
	require.ErrorIs(t, err, io.EOF)
	requireEvents(t, events, 3, 6)
}

// No server is left that could resume the stream. It must not look complete.
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
