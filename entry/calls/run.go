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
	var last error
	for {
		if stopped := c.Stopped(); stopped != nil {
			return nil, h.final(ctx, c, "an agent", stopped)
		}
		r := c.Route()
		if c.key != "" {
			r.Key = route.Hash(c.key)
		}
		if r.Remaining <= 0 {
			return nil, h.final(ctx, c, "an agent", c.OutOfTime(last))
		}
		server, choice := h.choose.Pick(pool, r, c.policy)
		if server == nil && last == nil {
			return nil, fleet.Refuse(c.Held, pool, choice)
		}
		if server == nil {
			return nil, h.final(ctx, c, "an agent", last)
		}
		to := target{name: server.Name, client: server.Client, lost: h.cfg.Agents.Lost(server.Name)}
		res, err := h.traced(ctx, c, to, choice)
		if err == nil {
			return res, nil
		}
		if holder := holderOf(err); holder != "" {
			return h.forward(ctx, c, holder)
		}
		if !c.Again(ctx, err, server.Name, server.FailureDomain) {
			return nil, h.final(ctx, c, server.Name, err)
		}
		last = err
		retriesTotal.Add(1)
	}
}

// final is what the caller is told. Our proof that a keyed request did not
// run covers this try alone: an agent that did not reply may have run an earlier
// one, and a caller told "not run" would take a new key and run it twice.
func (h *Handler) final(ctx context.Context, c *call, server string, err error) error {
	if c.key != "" && c.unanswered {
		return holderGone(server, err)
	}
	return c.Final(ctx, err)
}

// holderOf names the agent that owns the call's key, when err says so.
func holderOf(err error) string {
	if e, ok := kinds.As(err); ok && kinds.NotRunKind(e.Kind()) == kinds.ClaimedElsewhere {
		return e.Holder()
	}
	return ""
}

// forward sends a keyed call once to the agent that owns the key: it holds
// the answer, or knows that there is none.
func (h *Handler) forward(ctx context.Context, c *call, holder string) (*result, error) {
	forwardsTotal.Add(1)
	to := target{name: holder}
	server := h.cfg.Agents.Snapshot().ByName[holder]
	if server != nil {
		to.client, to.lost = server.Client, h.cfg.Agents.Lost(holder)
	} else {
		client, release, ok := h.cfg.Agents.Dial(holder)
		if !ok {
			return nil, holderGone(holder, nil)
		}
		to.client, to.release = client, release
	}
	res, err := h.traced(ctx, c, to, route.Choice{Reason: "holder of the key"})
	if err != nil {
		return nil, h.final(ctx, c, holder, err)
	}
	return res, nil
}

// holderGone is the answer when the key's owner can't be asked: its first run
// may have happened, and only the owner could tell.
func holderGone(holder string, cause error) error {
	err := kinds.New(kinds.OutcomeUnknown, "the key may have run at %s, which does not answer", holder)
	if cause != nil {
		err = err.WithCause(cause)
	}
	return err
}

// traced is try with its span and its decision records.
func (h *Handler) traced(ctx context.Context, c *call, to target, choice route.Choice) (res *result, err error) {
	hop := front.Hop{
		Part: part, Span: "entry call", Server: to.name, Choice: choice, Ring: h.cfg.Ring,
		Attributes: []attribute.KeyValue{attribute.String("route.name", c.route.Name)},
	}
	err = c.Traced(ctx, hop, func(ctx context.Context) (string, error) {
		if res, err = h.try(ctx, c, to); err != nil {
			return "", err
		}
		return res.summary(), nil
	})
	if err != nil {
		return nil, err
	}
	return res, nil
}
