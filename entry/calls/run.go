package calls

import (
	"context"

	"go.opentelemetry.io/otel/attribute"

	"dandelionsill.org/decide/route"
	"dandelionsill.org/entry/fleet"
	"dandelionsill.org/entry/front"
	"dandelionsill.org/kinds"
)

// run sends a call to servers until one answers, or nothing more may be tried.
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

// finalError is what the caller is told. Our proof that a keyed request did not
// run covers this try alone: an agent that did not reply may have run an earlier
// one, and a caller told "not run" would take a new key and run it twice.
func (h *Handler) finalError(ctx context.Context, c *call, server string, err error) error {
	if c.key != "" && c.unanswered {
		return ownerUnreachable(server, err)
	}
	return c.FinalError(ctx, err)
}

// ownerFromError names the agent that owns the call's key, when err says so.
func ownerFromError(err error) string {
	if e, ok := kinds.As(err); ok && kinds.NotRunKind(e.Kind()) == kinds.ClaimedElsewhere {
		return e.Holder()
	}
	return ""
}

// forwardToOwner sends a keyed call once to the agent that owns the key: it holds
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

// ownerUnreachable is the answer when the key's owner can't be asked: its first run
// may have happened, and only the owner could tell.
func ownerUnreachable(owner string, cause error) error {
	err := kinds.New(kinds.OutcomeUnknown, "the key may have run at %s, which does not answer", owner)
	if cause != nil {
		err = err.WithCause(cause)
	}
	return err
}

// tracedAttempt is try with its span and its decision records.
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
