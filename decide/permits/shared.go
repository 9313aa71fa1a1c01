package permits

import "dandelionsill.org/decide/table"

// SharedServices returns the services whose places are shared out: plain services to which a
// route leads whose timeout is at most maxPatience objectives. Callers of such a route have no
// time to wait behind a server's queue and to come back.
func SharedServices(t *table.Table, maxPatience float64) map[string]bool {
	shared := map[string]bool{}
	for _, r := range t.Routes {
		if !isImpatient(r, maxPatience) {
			continue
		}
		for _, target := range r.Targets {
			if t.Services[target.Service].Slots == 0 {
				shared[target.Service] = true
			}
		}
	}
	return shared
}

func isImpatient(r *table.Route, maxPatience float64) bool {
	if r.Kind != table.Safe && r.Kind != table.Unsafe || r.LatencyObjective <= 0 || r.Timeout <= 0 {
		return false
	}
	return float64(r.Timeout) <= maxPatience*float64(r.LatencyObjective)
}
