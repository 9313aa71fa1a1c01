// Package calls forwards callers' requests to ordinary services (those that aren't
// models). It finds the route in the manifest, picks a server, and retries on another
// server the requests that may be repeated.
//
// It guarantees two things. A request that must not be repeated is sent to another
// server only with proof that no earlier attempt ran. And the caller receives either the
// complete answer or an error, never a truncated answer that looks complete.
package calls

import (
	"context"
	"net/http"
	"strings"

	"github.com/google/uuid"
	"go.uber.org/zap"

	"dandelionsill.org/base/explain"
	"dandelionsill.org/base/logs"
	"dandelionsill.org/base/metrics"
	"dandelionsill.org/decide/poison"
	"dandelionsill.org/decide/route"
	"dandelionsill.org/entry/fleet"
	"dandelionsill.org/entry/front"
	"dandelionsill.org/kinds"
	"dandelionsill.org/manifest"
	"dandelionsill.org/quarantine"
	"dandelionsill.org/wire/pb"
)

const part = "entry: calls"

// Prefix is the path prefix of calls to services.
const Prefix = "/svc/"

// HeaderIdempotencyKey is the header with the idempotency key, a UUIDv7.
const HeaderIdempotencyKey = "Idempotency-Key"

// Default values of Config.
const (
	DefaultMaxAttempts = 4
	DefaultMaxBuffer   = 8 << 20
)

var (
	retriesTotal        = metrics.Counter("entry_call_retries_total")
	forwardsTotal       = metrics.Counter("entry_call_forwards_total")
	outcomeUnknownTotal = metrics.Counter("entry_call_outcome_unknown_total")
)

// Agents is the list of agents that calls are sent to.
type Agents interface {
	fleet.Watcher
	// Dial connects to an agent that is not in the list.
	Dial(name string) (client pb.AgentClient, release func(), ok bool)
}

// Config configures a Handler.
type Config struct {
	Agents Agents
	// Region is the region of this entry.
	Region      string
	MaxAttempts int    // 0: DefaultMaxAttempts
	MaxBuffer   int    // bytes of an answer that are buffered until it is complete; 0: DefaultMaxBuffer
	Seed        uint64 // seeds the random choices of routing
	Ring        *explain.Ring
	Logger      *zap.Logger
	// Quarantine stops requests that crash servers from being sent to more of them. If
	// nil, the handler creates one of its own.
	Quarantine *quarantine.Quarantine
}

// Handler serves requests under Prefix.
type Handler struct {
	cfg      Config
	log      *zap.Logger
	chooser  *fleet.Chooser
	beforeGo func(*attempt) // set by tests; runs between CallReady and CallGo
}

// New returns a Handler.
func New(cfg Config) *Handler {
	if cfg.MaxAttempts <= 0 {
		cfg.MaxAttempts = DefaultMaxAttempts
	}
	if cfg.MaxBuffer <= 0 {
		cfg.MaxBuffer = DefaultMaxBuffer
	}
	if cfg.Logger == nil {
		cfg.Logger = zap.NewNop()
	}
	if cfg.Quarantine == nil {
		cfg.Quarantine = quarantine.New(cfg.Logger)
	}
	return &Handler{
		cfg:      cfg,
		log:      logs.Part(cfg.Logger, "calls"),
		chooser:  fleet.NewChooser(cfg.Agents, cfg.Region, cfg.Seed),
		beforeGo: func(*attempt) {},
	}
}

// call is one request that is being served.
type call struct {
	*front.Attempts
	service manifest.Service
	route   manifest.Route
	path    string // path and query as sent to the backend server
	key     string
	// unanswered reports that an attempt ended without a reply from the agent.
	unanswered bool
}

// Serve is the front.Handler for Prefix.
func (h *Handler) Serve(ctx context.Context, w http.ResponseWriter, r *front.Request) error {
	c, refusal := h.parse(r)
	if refusal != nil {
		return refusal
	}
	answer, err := h.run(ctx, c)
	c.RecordResult(err == nil && answer.complete && answer.head.Status < http.StatusInternalServerError)
	if err != nil {
		if kinds.Of(err) == string(kinds.OutcomeUnknown) {
			outcomeUnknownTotal.Add(1)
			h.log.Warn("The outcome of a write is unknown.", zap.String("request_id", c.ID), zap.String("caller", c.Caller.Name),
				zap.String("service", c.service.Name), zap.String("why", err.Error()), logs.Trace(ctx))
		}
		return err
	}
	defer answer.close()
	return answer.deliver(ctx, w, c)
}

// parse finds the service and the route, and checks that the caller may use them.
func (h *Handler) parse(r *front.Request) (*call, *kinds.Error) {
	name, path := splitPath(r.HTTP)
	service, known := r.View.Manifest.Services[name]
	if !known {
		return nil, r.Held.Refuse(kinds.NotFound, "there is no service %q", name)
	}
	if !r.Caller.Allow[name] {
		return nil, r.Held.Refuse(kinds.Forbidden, "caller %s is not allowed to use service %s", r.Caller.Name, name)
	}
	matched, ok := service.Match(r.HTTP.Method, path)
	if !ok {
		return nil, r.Held.Refuse(kinds.NotFound, "service %s has no route for %s %s", name, r.HTTP.Method, path)
	}
	attempts := front.NewAttempts(r, matched.Repeat == manifest.RepeatAlways, h.cfg.MaxAttempts)
	c := &call{Attempts: attempts, service: service, route: matched, path: path}
	if query := r.HTTP.URL.RawQuery; query != "" {
		c.path += "?" + query
	}
	c.UseQuarantine(h.cfg.Quarantine, c.content)
	return c, c.parseKey()
}

// content returns what identifies a request that its caller sends again.
func (c *call) content() poison.Content {
	return poison.Content{Caller: c.Caller.Name, Method: c.HTTP.Method, Host: c.service.Name, URI: c.path, Body: c.Body}
}

// splitPath splits /svc/{service}/{path…}. The path keeps its escapes, so that the
// backend server receives it as the caller sent it.
func splitPath(r *http.Request) (service, path string) {
	rest := strings.TrimPrefix(r.URL.EscapedPath(), Prefix)
	service, path, _ = strings.Cut(rest, "/")
	return service, "/" + path
}

// parseKey checks and stores the idempotency key. On a repeatable route the header has
// no meaning here and is only forwarded to the backend server.
func (c *call) parseKey() *kinds.Error {
	if c.Repeatable {
		return nil
	}
	key := c.HTTP.Header.Get(HeaderIdempotencyKey)
	if key == "" {
		if c.route.RequireKey {
			return c.Held.Refuse(kinds.BadRequest, "route %s needs header %s, a UUIDv7", c.route.Name, HeaderIdempotencyKey)
		}
		return nil
	}
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != 7 {
		return c.Held.Refuse(kinds.BadRequest, "header %s is no UUIDv7", HeaderIdempotencyKey)
	}
	c.key = id.String()
	return nil
}

// openMessage returns the first message of the stream to an agent.
func (c *call) openMessage(number uint64) *pb.CallOpen {
	return &pb.CallOpen{
		RequestId:      c.ID,
		Caller:         c.Caller.Name,
		Service:        c.service.Name,
		Route:          c.route.Name,
		Method:         c.HTTP.Method,
		Path:           c.path,
		Headers:        requestHeaders(c.HTTP.Header),
		Body:           c.Body,
		Idempotent:     c.Repeatable,
		IdempotencyKey: c.key,
		DeadlineMs:     max(1, c.Remaining().Milliseconds()),
		Priority:       int32(c.Caller.Priority + c.route.Priority),
		Revision:       number,
		Weight:         c.Caller.Weight,
	}
}

// policy returns the routing policy. A call with an idempotency key goes to the server
// that its key maps to.
func (c *call) policy([]route.Candidate) *route.Policy {
	if c.key != "" {
		return keyedPolicy
	}
	return callPolicy
}

var (
	callPolicy  = route.ForCalls()
	keyedPolicy = route.ForKeyed()
)
