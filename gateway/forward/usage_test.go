package forward_test

import (
	"context"
	"encoding/json"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	decide "dandelionsill.org/decide/usage"
	"dandelionsill.org/gateway/gatewaytest"
	"dandelionsill.org/gateway/usage"
	"dandelionsill.org/platform"
	"dandelionsill.org/platform/hosted/hostedtest"
)

// countedRequests returns the number of an organisation's requests that the process
// counted.
func countedRequests(t *testing.T, p *gatewaytest.Process, counter *usage.Counter, organisation string) uint64 {
	counter.PublishFinal(t.Context())
	records, _, err := p.Store.Newest(t.Context(), platform.StreamUsage)
	require.NoError(t, err)
	require.Len(t, records, 1)
	var tally decide.Tally
	require.NoError(t, json.Unmarshal(records[0].Value, &tally))
	var n uint64
	for _, counts := range tally.Windows {
		n += counts[organisation]
	}
	return n
}

// Guards against requests that are counted twice because they were retried, that are
// counted although no server started them, or that are not counted although one did.
func TestStartedRequestIsCountedOnce(t *testing.T) {
	const window = 5 * time.Second
	tests := []struct {
		name   string
		faults []hostedtest.ServerFaults
		path   string
		want   uint64
	}{
		{"answered", []hostedtest.ServerFaults{{}}, "/score/x", 1},
		{"refused by one server", []hostedtest.ServerFaults{{Refuse: true}, {}}, "/score/x", 1},
		{"refused by all", []hostedtest.ServerFaults{{Refuse: true}}, "/score/x", 0},
		{"failed at two servers", []hostedtest.ServerFaults{{Status: 500}, {Status: 500}}, "/score/x", 1},
		{"silent at one server, answered by the next", []hostedtest.ServerFaults{{Unresponsive: true}, {}}, "/score/x", 1},
		{"an answer without a signature", []hostedtest.ServerFaults{{NoSeal: true}}, "/write/x", 1},
		{"a stream", []hostedtest.ServerFaults{{}}, "/chat/x", 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			pf := gatewaytest.NewPlatform(t, 1, len(test.faults))
			p := pf.NewProcess(t)
			for i, f := range test.faults {
				pf.Servers[i].Fail(f)
			}
			counter := usage.NewCounter(p.Store, "p", window, time.Now, func() int { return 1 }, zap.NewNop())
			p.Forward.Usage = counter
			c := newCall(t, p, "r", test.path)
			c.Organisation, c.Deadline = "shop", time.Now().Add(400*time.Millisecond)
			if test.path == "/chat/x" {
				_, err := p.Forward.Stream(t.Context(), c, httptest.NewRecorder())
				require.Nil(t, err)
			} else {
				_, _ = p.Forward.Send(t.Context(), c) // some of them fail
			}
			require.Equal(t, test.want, countedRequests(t, p, counter, "shop"))
		})
	}
}

// Guards against requests that are not counted because their caller disconnected before
// the answer.
func TestRequestOfDisconnectedCallerIsCounted(t *testing.T) {
	pf := gatewaytest.NewPlatform(t, 0, 1)
	p := pf.NewProcess(t)
	pf.Servers[0].Fail(hostedtest.ServerFaults{Unresponsive: true})
	counter := usage.NewCounter(p.Store, "p", 5*time.Second, time.Now, func() int { return 1 }, zap.NewNop())
	p.Forward.Usage = counter
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		for pf.Servers[0].InFlight() == 0 {
			time.Sleep(time.Millisecond)
		}
		cancel()
	}()
	c := newCall(t, p, "r", "/score/x")
	c.Organisation = "shop"
	_, err := p.Forward.Send(ctx, c)
	require.NotNil(t, err)
	require.EqualValues(t, 1, countedRequests(t, p, counter, "shop"))
}
