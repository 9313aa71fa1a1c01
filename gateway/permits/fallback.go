package permits

import (
	"context"
	"time"

	"github.com/juju/errors"

	decide "dandelionsill.org/decide/permits"
)

// Fallback asks the brokers of the fleet, and a broker of this process alone while none of them
// answers. The latter knows only this process's requests: it finds out by refusals how many of
// them a server takes beside those of other gateways.
type Fallback struct {
	Fleet, Own *Client
}

// Acquire asks for a permit like Client.Acquire.
func (f *Fallback) Acquire(ctx context.Context, service string, ask decide.Ask) (*Permit, *Refusal, error) {
	start := time.Now()
	permit, refusal, err := f.Fleet.Acquire(ctx, service, ask)
	if ask.NoWait || ctx.Err() != nil || !errors.Is(err, ErrNoBroker) {
		return permit, refusal, err
	}
	permit, refusal, err = f.Own.Acquire(ctx, service, withTimeLeft(ask, time.Since(start)))
	if permit != nil {
		permit.IsOwn = true
	}
	return permit, refusal, err
}
