package server

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"strings"
	"time"

	"dandelionsill.org/base/run"
	"dandelionsill.org/entry/answer"
	"dandelionsill.org/entry/auth"
	"dandelionsill.org/entry/calls"
	"dandelionsill.org/entry/fleet"
	"dandelionsill.org/entry/front"
	"dandelionsill.org/kinds"
	"dandelionsill.org/platform"
	"dandelionsill.org/wire/pb"
)

const (
	explainPrefix = "/v1/explain/"
	// explainTimeout bounds the wait for the agents' records. An agent that is
	// down must not hold up the records of the others.
	explainTimeout = time.Second
	// maxExplainCalls bounds the number of agents that are asked concurrently.
	maxExplainCalls = 32
)

// Status is the body of the answer to GET /v1/status.
type Status struct {
	run.Status
	// Agents are the agents that this entry watches, sorted by name.
	Agents []AgentStatus `json:"agents"`
}

// AgentStatus is one watched agent as this entry sees it.
type AgentStatus struct {
	Name     string `json:"name"`
	Pool     string `json:"pool"`
	Ready    bool   `json:"ready"`
	Leaving  bool   `json:"leaving"`
	Ejected  bool   `json:"ejected"`
	Version  uint64 `json:"version"`
	Running  int32  `json:"running"`
	Queued   int32  `json:"queued"`
	InFlight int    `json:"in_flight"` // this entry's work in flight there
}

func (e *entry) serveStatus(w http.ResponseWriter, r *http.Request) {
	if !allowMethod(w, r, http.MethodGet) {
		return
	}
	status := Status{
		Status: run.Status{
			Name:        e.settings.Process.Name,
			Role:        platform.RoleEntry,
			Incarnation: uint64(e.startedAt.UnixMilli()),
			Ready:       run.IsReady(),
			Leaving:     e.leaving(),
			Peers:       e.peers(),
		},
		Agents: e.agentStatus(),
	}
	if view := e.viewer.View(); view != nil {
		status.Revision, status.Hash, status.Offset = view.Number, view.Hash, view.Offset
	}
	answer.JSON(w, r.Header.Get(answer.HeaderRequestID), http.StatusOK, status)
}

// leaving reports whether the manifest marks this VM as leaving.
func (e *entry) leaving() bool {
	view := e.viewer.View()
	return view != nil && view.Manifest != nil && view.Manifest.Leaving[e.settings.Process.Name]
}

func (e *entry) agentStatus() []AgentStatus {
	var all []AgentStatus
	for pool, servers := range e.agents.Snapshot().ByPool {
		for _, s := range servers {
			all = append(all, statusOf(pool, s, e.agents.InFlightNow(s.Name)))
		}
	}
	slices.SortFunc(all, func(a, b AgentStatus) int { return strings.Compare(a.Name, b.Name) })
	return all
}

func statusOf(pool string, s *fleet.Server, inFlight int) AgentStatus {
	return AgentStatus{
		Name:     s.Name,
		Pool:     pool,
		Ready:    s.Ready(),
		Leaving:  s.State.Leaving,
		Ejected:  s.Ejected,
		Version:  s.State.Version,
		Running:  s.State.Running,
		Queued:   s.State.Queued,
		InFlight: inFlight,
	}
}

// Decision is one decision record of a process.
type Decision struct {
	AtMS    int64  `json:"at_ms"`
	Process string `json:"process"`
	Part    string `json:"part"`
	ID      string `json:"id"`
	What    string `json:"what"`
	Why     string `json:"why"`
	TraceID string `json:"trace_id,omitempty"`
}

// Explanation is the body of the answer to GET /v1/explain/{id}.
type Explanation struct {
	ID        string     `json:"id"`
	Decisions []Decision `json:"decisions"`
	// Unresponsive contains the names of the agents that did not answer. Their
	// records are missing.
	Unresponsive []string `json:"silent"`
}

func explainHandler(e *entry) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !allowMethod(w, r, http.MethodGet) {
			return
		}
		requestID, err := front.RequestID(r)
		var found Explanation
		if err == nil {
			found, err = e.explain(r)
		}
		if err != nil {
			answer.Error(w, requestID, err)
			return
		}
		answer.JSON(w, requestID, http.StatusOK, found)
	})
}

// explain answers operators only, as the records cover the requests of all
// callers.
func (e *entry) explain(r *http.Request) (Explanation, error) {
	if refusal := auth.Operator(e.viewer.View(), r); refusal != nil {
		return Explanation{}, refusal
	}
	id := strings.TrimPrefix(r.URL.Path, explainPrefix)
	if id == "" {
		return Explanation{}, kinds.Hold().Refuse(kinds.BadRequest, "the path ends with the id to explain")
	}
	return collectDecisions(r.Context(), id, e.ring.Find(id), e.agents.Snapshot().ByName), nil
}

// collectDecisions returns this entry's records and those of the agents that it
// watches, sorted by time.
func collectDecisions(ctx context.Context, id string, own []*pb.Decision, servers map[string]*fleet.Server) Explanation {
	out := Explanation{ID: id, Decisions: convertDecisions(own), Unresponsive: []string{}}
	ctx, cancel := context.WithTimeout(ctx, explainTimeout)
	defer cancel()
	type reply struct {
		name  string
		found []*pb.Decision
		err   error
	}
	replies := make(chan reply, len(servers))
	slots := make(chan struct{}, maxExplainCalls)
	for name, server := range servers {
		go func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			found, err := server.Client.Explain(ctx, &pb.ExplainRequest{Id: id})
			replies <- reply{name, found.GetDecisions(), err}
		}()
	}
	for range servers {
		got := <-replies
		if got.err != nil {
			out.Unresponsive = append(out.Unresponsive, got.name)
		}
		out.Decisions = append(out.Decisions, convertDecisions(got.found)...)
	}
	slices.Sort(out.Unresponsive)
	slices.SortStableFunc(out.Decisions, func(a, b Decision) int { return cmp.Compare(a.AtMS, b.AtMS) })
	return out
}

func convertDecisions(from []*pb.Decision) []Decision {
	out := make([]Decision, 0, len(from))
	for _, d := range from {
		out = append(out, Decision{d.AtMs, d.Process, d.Part, d.Id, d.What, d.Why, d.TraceId})
	}
	return out
}

// withServices passes calls to services to their handler instead of the router.
// The router would clean their paths and redirect: a redirected POST becomes a
// GET, and a cleaned path may mean something else to the backend server.
func withServices(services, rest http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// Clear the write deadline of an earlier request. It stays on the
		// connection, which a balancer may use for a trainer's long poll next.
		_ = http.NewResponseController(w).SetWriteDeadline(time.Time{})
		if strings.HasPrefix(r.URL.Path, calls.Prefix) {
			services.ServeHTTP(w, r)
			return
		}
		rest.ServeHTTP(w, r)
	})
}

// withExplain passes explain requests to their handler instead of the router,
// which would clean their paths: callers and trainers may choose ids with "//" or
// a dot segment.
func withExplain(explain, rest http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, explainPrefix) {
			explain.ServeHTTP(w, r)
			return
		}
		rest.ServeHTTP(w, r)
	})
}

// allowMethod reports whether the request has the given method. If not, it
// answers 405.
func allowMethod(w http.ResponseWriter, r *http.Request, method string) bool {
	if r.Method == method {
		return true
	}
	w.Header().Set("Allow", method)
	methodNotAllowed(w, r)
	return false
}

// notFound and methodNotAllowed answer in the JSON form of all refusals, as a
// caller that reads "not_run" must not have to handle a plain text.
func notFound(w http.ResponseWriter, r *http.Request) {
	refuse(w, r, http.StatusNotFound, "there is no path %s", r.URL.Path)
}

func methodNotAllowed(w http.ResponseWriter, r *http.Request) {
	refuse(w, r, http.StatusMethodNotAllowed, "%s does not take %s", r.URL.Path, r.Method)
}

// refuse answers with a not_found error and the given HTTP status.
func refuse(w http.ResponseWriter, r *http.Request, status int, format string, args ...any) {
	id, _ := front.RequestID(r) // an invalid id is replaced, as the error is about the path
	body, _ := answer.Body(id, kinds.Hold().Refuse(kinds.NotFound, format, args...))
	answer.JSON(w, id, status, body)
}
