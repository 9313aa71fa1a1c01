package e2e

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"dandelionsill.org/entry/answer"
	"dandelionsill.org/load/site"
)

// span is a span as the file exporter writes it.
type span struct {
	Name        string
	SpanContext struct{ TraceID, SpanID string }
	Parent      struct{ SpanID string }
	Attributes  []struct {
		Key   string
		Value struct{ Value any }
	}
}

func (s span) attributes() map[string]any {
	all := map[string]any{}
	for _, a := range s.Attributes {
		all[a.Key] = a.Value.Value
	}
	return all
}

// spans reads the spans of one trace from a file, in no particular order.
func spans(file, trace string) (all []span) {
	data, _ := os.ReadFile(file)
	decoder := json.NewDecoder(bytes.NewReader(data))
	for {
		var s span
		if decoder.Decode(&s) != nil {
			return all
		}
		if s.SpanContext.TraceID == trace {
			all = append(all, s)
		}
	}
}

// A trace must cover a request from the caller's own span to the backend server. Entry
// and agent write one span for each hop and side, each a child of the previous one,
// with the caller's trace id. The entry's attempt span says where the request was sent
// and why.
func TestTraceOverAllHops(t *testing.T) {
	const callerSpan = "b7ad6b7169203331"
	file := filepath.Join(t.TempDir(), "spans")
	t.Setenv("DANDELION_TRACE_EXPORTER", "file")
	t.Setenv("DANDELION_TRACE_FILE", file)
	c := startCluster(t, options{seed: 71})
	d := c.site.Deployment
	cases := []struct {
		trace, method, path, body string
		names                     []string
	}{
		{"0af7651916cd43dd8448eb211c80319c", http.MethodGet, "/svc/" + d.Service + "/orders/1", "", []string{
			"entry /svc", "entry call", "/dandelion.v1.Agent/Call", "/dandelion.v1.Agent/Call", "backend GET",
		}},
		{"0af7651916cd43dd8448eb211c80319d", http.MethodPost, "/v1/completions", fmt.Sprintf(`{"model":%q,"prompt":"x","max_tokens":5}`, d.Model), []string{
			"entry /v1/completions", "entry completion", "/dandelion.v1.Agent/Generate", "/dandelion.v1.Agent/Generate", "agent.generate",
		}},
	}
	for _, want := range cases {
		req, err := http.NewRequestWithContext(c.ctx, want.method, c.site.URLs(site.RoleEntry)[0]+want.path, bytes.NewReader([]byte(want.body)))
		require.NoError(t, err)
		req.Header.Set("Authorization", "Bearer "+site.Token(site.Caller))
		req.Header.Set("traceparent", "00-"+want.trace+"-"+callerSpan+"-01")
		resp, err := http.DefaultClient.Do(req)
		require.NoError(t, err)
		body, err := io.ReadAll(resp.Body)
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
		require.Equal(t, http.StatusOK, resp.StatusCode, "%s", body)

		var chain []span
		c.waitFor("the trace is complete", func() error {
			chain = spanChain(spans(file, want.trace), callerSpan)
			if len(chain) != len(want.names) {
				return fmt.Errorf("%d of %d spans are in the chain: %+v", len(chain), len(want.names), chain)
			}
			return nil
		})
		require.Len(t, spans(file, want.trace), len(want.names), "one span for each hop and side")
		for i, s := range chain {
			require.Equal(t, want.names[i], s.Name)
		}
		first, choice := chain[0].attributes(), chain[1].attributes()
		require.Equal(t, site.Caller, first["caller"])
		require.Equal(t, resp.Header.Get(answer.HeaderRequestID), first["request.id"])
		require.Equal(t, resp.Header.Get(answer.HeaderServer), choice["server"])
		require.NotEmpty(t, choice["route.why"])
		require.Contains(t, choice, "route.load")
		require.Contains(t, choice, "route.left")
	}
}

// spanChain returns the chain of spans that starts below a parent.
func spanChain(all []span, parent string) (chain []span) {
	for {
		found := false
		for _, s := range all {
			if s.Parent.SpanID == parent {
				chain, parent, found = append(chain, s), s.SpanContext.SpanID, true
				break
			}
		}
		if !found {
			return chain
		}
	}
}
