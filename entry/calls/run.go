package calls

import (
	"context"

	"go.opentelemetry.io/otel/attribute"

	"dandelionsill.org/decide/route"
	"dandelionsill.org/entry/fleet"
	"dandelionsill.org/entry/front"
	"dandelionsill.org/kinds"
)

// run sends a call to one server after another until one answers or no further attempt
// is allowed.
func (h *Handler) run(ctx context.Context, c *call) (*result, error) {
	pool := fleet.ServicePool(c.service.Name)
	var lastErr error
	for {
		if quarantined := c.CheckQuarantine(); quarantined != nil {
			return nil, h.finalError(ctx, c, "an agent", quarantined)
		}
		req := c.Route()
		if c.key != "" {
			req.Key = route.Hash(c.key)
		}
		if req.Remaining <= 0 {
			return nil, h.finalError(ctx, c, "an agent", c.DeadlineError(lastErr))
		}
		server, choice := h.chooser.Pick(pool, req, c.policy)
		if server == nil && lastErr == nil {
			return nil, fleet.Refuse(c.Held, pool, choice)
		}
		if server == nil {
			return nil, h.finalError(ctx, c, "an agent", lastErr)
		}
		to := target{name: server.Name, client: server.Client, lost: h.cfg.Agents.Lost(server.Name)}
		res, err := h.tracedAttempt(ctx, c, to, choice)
		if err == nil {
			return res, nil
		}
		if owner := ownerFromError(err); owner != "" {
			return h.forwardToOwner(ctx, c, owner)
		}
		if !c.ShouldRetry(ctx, err, server.Name, server.FailureDomain) {
			return nil, h.finalError(ctx, c, server.Name, err)
		}
		lastErr = err
		retriesTotal.Add(1)
	}
}

// finalError returns the error that the caller receives. For a request with a key, the
// entry's proof of "not run" covers only the current attempt: an agent that did not
// reply may have run an earlier one. A caller that received "not run" would choose a new
// key, and the request would run twice.
func (h *Handler) finalError(ctx context.Context, c *call, server string, err error) error {
	if c.key != "" && c.unanswered {
		return ownerUnreachable(server, err)
	}
	return c.FinalError(ctx, err)
}

// ownerFromError returns the agent that owns the call's key if err names it, or "".
func ownerFromError(err error) string {
	if e, ok := kinds.As(err); ok && kinds.NotRunKind(e.Kind()) == kinds.ClaimedElsewhere {
		return e.Holder()
	}
	return ""
}

// forwardToOwner sends a keyed call once to the agent that owns the key: that agent has
// the answer, or knows that there is none.
func (h *Handler) forwardToOwner(ctx context.Context, c *call, owner string) (*result, error) {
	forwardsTotal.Add(1)
	to := target{name: owner}
	server := h.cfg.Agents.Snapshot().ByName[owner]
	if server != nil {
		to.client, to.lost = server.Client, h.cfg.Agents.Lost(owner)
	} else {
		client, release, ok := h.cfg.Agents.Dial(owner)
		if !ok {
			return nil, ownerUnreachable(owner, nil)
		}
		to.client, to.release = client, release
	}
	res, err := h.tracedAttempt(ctx, c, to, route.Choice{Reason: "holder of the key"})
	if err != nil {
		return nil, h.finalError(ctx, c, owner, err)
	}
	return res, nil
}

// ownerUnreachable returns the error for a key whose owner can't be asked: the first run
// may have happened, and only the owner knows.
func ownerUnreachable(owner string, cause error) error {
	err := kinds.New(kinds.OutcomeUnknown, "the key may have run at %s, which does not answer", owner)
	if cause != nil {
		err = err.WithCause(cause)
	}
	return err
}

// tracedAttempt runs an attempt in a span of its own and adds its decision records.
func (h *Handler) tracedAttempt(ctx context.Context, c *call, to target, choice route.Choice) (res *result, err error) {
	info := front.AttemptInfo{
		Part: part, Span: "entry call", Server: to.name, Choice: choice, Ring: h.cfg.Ring,
		Attributes: []attribute.KeyValue{attribute.String("route.name", c.route.Name)},
	}
	err = c.TraceAttempt(ctx, info, func(ctx context.Context) (string, error) {
		if res, err = h.runAttempt(ctx, c, to); err != nil {
			return "", err
		}
		return res.summary(), nil
	})
	if err != nil {
		return nil, err
	}
	return res, nil
}
