// Package calls carries callers' requests to plain services: it finds the
// route in the manifest, picks a server, and repeats elsewhere what may be
// repeated.
//
// Two promises are kept here. A request that may not be repeated goes on only
// with proof that no try of it ran; and an answer reaches the caller whole or
// not at all.
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

// Prefix is the path under which services are called.
const Prefix = "/svc/"

// HeaderIdempotencyKey carries the idempotency key, a UUIDv7.
const HeaderIdempotencyKey = "Idempotency-Key"

// Defaults of Config.
const (
	DefaultMaxAttempts = 4
	DefaultMaxBuffer   = 8 << 20
)

var (
	retriesTotal        = metrics.Counter("entry_call_retries_total")
	forwardsTotal       = metrics.Counter("entry_call_forwards_total")
	outcomeUnknownTotal = metrics.Counter("entry_call_outcome_unknown_total")
)

// Agents is the picture of the agents that calls go to.
type Agents interface {
	fleet.Watcher
	// Dial connects to an agent outside of the picture.
	Dial(name string) (client pb.AgentClient, release func(), ok bool)
}

// Config configures a Handler.
type Config struct {
	Agents Agents
	// Region is this entry's own.
	Region      string
	MaxAttempts int    // 0: DefaultMaxAttempts
	MaxBuffer   int    // bytes of an answer that are held back until it is whole; 0: DefaultMaxBuffer
	Seed        uint64 // of the routing's random choices
	Ring        *explain.Ring
	Logger      *zap.Logger
	// Quarantine keeps requests that crash servers from reaching any; nil: one of this
	// handler's own.
	Quarantine *quarantine.Quarantine
}

// Handler serves requests under Prefix.
type Handler struct {
	cfg      Config
	log      *zap.Logger
	chooser  *fleet.Chooser
	beforeGo func(*attempt) // for tests: runs after CallReady, before CallGo
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

// call is one request on its way.
type call struct {
	*front.Attempts
	service manifest.Service
	route   manifest.Route
	path    string // path and query as the backend server gets it
	key     string
	// unanswered: a try ended without the agent's reply.
	unanswered bool
}

// Serve is the front.Handler of Prefix.
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

// parse finds the service and route and checks the caller's right to them.
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
	tries := front.NewAttempts(r, matched.Repeat == manifest.RepeatAlways, h.cfg.MaxAttempts)
	c := &call{Attempts: tries, service: service, route: matched, path: path}
	if query := r.HTTP.URL.RawQuery; query != "" {
		c.path += "?" + query
	}
	c.UseQuarantine(h.cfg.Quarantine, c.content)
	return c, c.parseKey()
}

// content is what makes two requests of a caller the same one.
func (c *call) content() poison.Content {
	return poison.Content{Caller: c.Caller.Name, Method: c.HTTP.Method, Host: c.service.Name, URI: c.path, Body: c.Body}
}

// splitPath cuts /svc/{service}/{path…}; the path keeps its escapes, so that the
// backend server gets what the caller sent.
func splitPath(r *http.Request) (service, path string) {
	rest := strings.TrimPrefix(r.URL.EscapedPath(), Prefix)
	service, path, _ = strings.Cut(rest, "/")
	return service, "/" + path
}

// parseKey checks the idempotency key. On a repeatable route a key means
// nothing and is left to the backend server.
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

// openMessage is the first message to an agent.
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

// policy chooses servers: a key's own where there is one.
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
