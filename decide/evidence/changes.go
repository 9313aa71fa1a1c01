package evidence

// Change is what has changed about a server between two reports.
type Change uint8

const (
	// NowEjected means that the server is ejected for all gateways, anew or for longer.
	NowEjected Change = iota + 1
	// NowOnProbation means that it has one request at a time until it has answered some.
	NowOnProbation
	// NowTrusted means that its probation or ejection is over.
	NowTrusted
	// NowEjectedForSome means that it is ejected for single gateways.
	NowEjectedForSome
	// NowLimited means that it has fewer requests at a time than slots.
	NowLimited
	// NowUnlimited means that it has as many requests as slots again.
	NowUnlimited
)

// ServerChange is a change of one server.
type ServerChange struct {
	Change Change
	ServerReport
	// Before is the earlier report, zero for a new server.
	Before ServerReport
}

// Changes compares two reports of one pool, both by id. It returns at most one change a
// server, the gravest. Servers that are gone are no change.
func Changes(before, after []ServerReport) []ServerChange {
	var changes []ServerChange
	i := 0
	for _, now := range after {
		for i < len(before) && before[i].Server < now.Server {
			i++
		}
		earlier := ServerReport{Slots: now.Slots, Limit: now.Slots}
		if i < len(before) && before[i].Server == now.Server {
			earlier = before[i]
		}
		if c := changeOf(&earlier, &now); c != 0 {
			changes = append(changes, ServerChange{Change: c, ServerReport: now, Before: earlier})
		}
	}
	return changes
}

// changeOf returns the gravest change between two reports of a server; 0: none.
func changeOf(before, now *ServerReport) Change {
	wasDistrusted := before.isEjected() || before.Probation > 0
	switch {
	case now.isEjected():
		if now.EjectedSince.Equal(before.EjectedSince) {
			return 0
		}
		return NowEjected
	case now.Probation > 0:
		if before.Probation > 0 && !before.isEjected() {
			return 0
		}
		return NowOnProbation
	case wasDistrusted:
		return NowTrusted
	case now.EjectedFor > 0 && before.EjectedFor == 0:
		return NowEjectedForSome
	case now.isLimited() && !before.isLimited():
		return NowLimited
	case before.isLimited() && !now.isLimited():
		return NowUnlimited
	}
	return 0
}

func (r *ServerReport) isEjected() bool { return !r.EjectedSince.IsZero() }

func (r *ServerReport) isLimited() bool { return r.Limit < r.Slots }
