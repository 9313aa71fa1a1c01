package forward

import (
	"fmt"
	"maps"

	"github.com/juju/errors"

	"dandelionsill.org/gateway/backend"
)

const (
	// errEvacuated means that the operator evacuates the server's failure domain.
	errEvacuated = errors.ConstError("the server's failure domain is evacuated")
	// errOtherRegion means that the request may no longer be served in the server's region.
	errOtherRegion = errors.ConstError("the server's region is not allowed any more")
)

// checkStillAllowed returns an ErrNotSent error if the failure domain of a server has been evacuated since
// the server was chosen, or its region is no longer allowed: a request may have waited for room, or its
// process may have been stopped meanwhile.
func (f *Forwarder) checkStillAllowed(call *Call, service, server string) error {
	listed, known := f.View.Current().Server(service, server)
	switch {
	case !known:
		return nil
	case listed.Evacuated:
		return fmt.Errorf("%w: %w", backend.ErrNotSent, errEvacuated)
	case !f.regionsOf(call).Allows(listed.Region):
		return fmt.Errorf("%w: %w", backend.ErrNotSent, errOtherRegion)
	}
	return nil
}

// InFlight returns the number of requests of this process at each server that has any.
func (f *Forwarder) InFlight() map[string]int {
	f.serverStats.mu.Lock()
	defer f.serverStats.mu.Unlock()
	return maps.Clone(f.serverStats.inFlight)
}
