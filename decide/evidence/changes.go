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
	// NowGone means that a server which was ejected or on probation is no longer listed.
	NowGone
)

// ServerChange is a change of one server.
type ServerChange struct {
	Change Change
	ServerReport
	// Before is the earlier report, without a name for a new server. ServerReport is the same
	// for one that is gone.
	Before ServerReport
}

// Changes compares two reports of one pool, both by id. It returns at most one change a
// server, the gravest.
func Changes(before, after []ServerReport) []ServerChange {
	var changes []ServerChange
	for len(before)+len(after) > 0 {
		switch {
		case len(after) == 0 || len(before) > 0 && before[0].Server < after[0].Server:
			if before[0].isDistrusted() {
				changes = append(changes, ServerChange{Change: NowGone, ServerReport: before[0], Before: before[0]})
			}
			before = before[1:]
			continue
		case len(before) == 0 || after[0].Server < before[0].Server:
			added := ServerReport{Slots: after[0].Slots, Limit: after[0].Slots}
			changes = appendChange(changes, added, after[0])
		default:
			changes = appendChange(changes, before[0], after[0])
			before = before[1:]
		}
		after = after[1:]
	}
	return changes
}

func appendChange(changes []ServerChange, before, now ServerReport) []ServerChange {
	if c := changeOf(&before, &now); c != 0 {
		changes = append(changes, ServerChange{Change: c, ServerReport: now, Before: before})
	}
	return changes
}

// changeOf returns the gravest change between two reports of a server; 0: none.
func changeOf(before, now *ServerReport) Change {
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
	case before.isDistrusted():
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

func (r *ServerReport) isDistrusted() bool { return r.isEjected() || r.Probation > 0 }

func (r *ServerReport) isLimited() bool { return r.Limit < r.Slots }
