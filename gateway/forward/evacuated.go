package forward

import (
	"fmt"
	"maps"

	"github.com/juju/errors"

	"dandelionsill.org/gateway/backend"
)

// errEvacuated means that the operator evacuates the server's failure domain.
const errEvacuated = errors.ConstError("the server's failure domain is evacuated")

// checkEvacuated returns an ErrNotSent error if the failure domain of a server has been evacuated since
// the server was chosen: a request may have waited for room, or its process may have been stopped meanwhile.
func (f *Forwarder) checkEvacuated(service, server string) error {
	if listed, known := f.View.Current().Server(service, server); known && listed.Evacuated {
		return fmt.Errorf("%w: %w", backend.ErrNotSent, errEvacuated)
	}
	return nil
}

// InFlight returns the number of requests of this process at each server that has any.
func (f *Forwarder) InFlight() map[string]int {
	f.serverStats.mu.Lock()
	defer f.serverStats.mu.Unlock()
	return maps.Clone(f.serverStats.inFlight)
}
