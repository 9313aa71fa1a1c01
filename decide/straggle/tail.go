package straggle

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	stragglerRatio    = 0.5                    // minimum share of the longest remaining time
	minRunTime        = 100 * time.Millisecond // before it, a stream is neither moved nor hedged
	maxRescuesPerCall = 32
	maxRemaining      = 24 * time.Hour
)

// straggler is a stream that is predicted to be among the last to end.
type straggler struct {
	stream    *run
	remaining time.Duration // predicted, on its current server
}

// speedUpTail moves or hedges the streams that would end last. It does so once
// nothing is queued, when free slots would otherwise be idle.
func (p *Plan) speedUpTail(now time.Duration, pool []Server) []Action {
	if p.cfg.Baseline || p.queue.Len() > 0 || (p.cfg.NoHedge && p.cfg.NoMove) {
		return nil
	}
	free := 0
	for i := range pool {
		if !pool[i].SlotsFull {
			free += max(0, pool[i].Free)
		}
	}
	if free == 0 {
		return nil
	}
	var acts []Action
	for _, st := range p.stragglers(now, min(free, maxRescuesPerCall)) {
		if a, ok := p.moveOrHedge(st, now, pool); ok {
			acts = append(acts, a)
		}
	}
	return acts
}

// stragglers returns up to n streams that have no second copy, the longest
// remaining time first.
func (p *Plan) stragglers(now time.Duration, n int) []straggler {
	var found []straggler
	for _, stream := range p.runs {
		if len(p.samples[stream.sample].runs) > 1 || stream.chunks == 0 || stream.rate <= 0 || now-stream.startedAt < minRunTime {
			continue
		}
		remaining := p.predictRemaining(p.groups[p.samples[stream.sample].group], stream.tokens)
		found = append(found, straggler{stream, seconds(remaining / stream.rate)})
	}
	slices.SortFunc(found, func(a, b straggler) int {
		return cmp.Or(cmp.Compare(b.remaining, a.remaining), cmp.Compare(a.stream.id, b.stream.id))
	})
	for i, s := range found {
		if s.remaining < time.Duration(stragglerRatio*float64(found[0].remaining)) {
			found = found[:i]
			break
		}
	}
	return found[:min(n, len(found))]
}

// seconds converts seconds to a duration of at most maxRemaining.
func seconds(s float64) time.Duration {
	return min(time.Duration(min(s, maxRemaining.Seconds())*float64(time.Second)), maxRemaining)
}

// moveOrHedge decides whether to move or hedge one stream. It returns false
// for neither.
func (p *Plan) moveOrHedge(st straggler, now time.Duration, pool []Server) (Action, bool) {
	stream := st.stream
	s := p.fastestServer(pool, stream.server)
	if s == nil {
		return Action{}, false
	}
	g := p.groups[p.samples[stream.sample].group]
	resumable := p.cfg.Mixed || stream.version == s.Version
	tokens := p.predictRemaining(g, stream.tokens)
	if !resumable {
		tokens += float64(stream.tokens)
	}
	elsewhereTime := moveOverhead + seconds(tokens/p.rate(s, s.Running+1))
	silent := now-max(stream.lastChunkAt, p.resumedAt) > time.Duration(hedgeSilenceRatio*float64(p.serverStallTimeout(s)))
	gain := st.remaining - elsewhereTime
	moveSaves := gain > p.cfg.MinGain && float64(gain) > p.cfg.MinGainRatio*float64(st.remaining)
	if moveSaves && resumable && !silent && !p.cfg.NoMove && p.samples[stream.sample].moves < maxMoves {
		return p.addCopy(Move, stream, s, now, "ends earlier on a faster server"), true
	}
	hedgeSaves := gain > p.cfg.MinGain && float64(elsewhereTime) < maxHedgeTimeRatio*float64(st.remaining)
	if (silent || hedgeSaves) && !p.cfg.NoHedge && p.hedgeBudgetAllows(int(tokens)) {
		a := p.addCopy(Hedge, stream, s, now, "second copy of a late stream")
		p.runs[a.Run].reservedTokens = int(tokens)
		p.hedgeReserved += int(tokens)
		return a, true
	}
	return Action{}, false
}

// addCopy adds a run of kind Hedge or Move that copies r and takes a slot of
// s.
func (p *Plan) addCopy(kind Kind, r *run, s *Server, now time.Duration, reason string) Action {
	s.Free--
	s.Running++
	return p.addRun(kind, r.sample, s.Name, r, now, reason)
}

// moveOffLeaving moves streams off leaving servers while others have free
// slots: a drain waits for a limited time and then ends the remaining streams.
func (p *Plan) moveOffLeaving(now time.Duration, servers, pool []Server) []Action {
	if p.cfg.Baseline || p.cfg.NoMove {
		return nil
	}
	leaving := map[string]bool{}
	for i := range servers {
		if servers[i].Leaving {
			leaving[servers[i].Name] = true
		}
	}
	if len(leaving) == 0 {
		return nil
	}
	var acts []Action
	for _, id := range slices.Sorted(maps.Keys(p.runs)) {
		r := p.runs[id]
		if !leaving[r.server] || r.chunks == 0 || len(p.samples[r.sample].runs) > 1 {
			continue
		}
		s := p.fastestServer(pool, r.server)
		if s == nil {
			break
		}
		if p.cfg.Mixed || s.Version == r.version {
			acts = append(acts, p.addCopy(Move, r, s, now, "its server is leaving"))
		}
	}
	return acts
}

// fastestServer returns the server with a free slot, other than except, on
// which one more stream would run fastest. It returns nil if there is none.
func (p *Plan) fastestServer(pool []Server, except string) *Server {
	var best *Server
	var bestRate float64
	for i := range pool {
		s := &pool[i]
		if s.Free <= 0 || s.SlotsFull || s.Name == except {
			continue
		}
		if rate := p.rate(s, s.Running+1); best == nil || rate > bestRate {
			best, bestRate = s, rate
		}
	}
	return best
}

// HedgeBudget returns how many tokens of losing copies are allowed so far: a
// share of the tokens of finished samples, so that it never exceeds the same
// share of the step's tokens.
func (p *Plan) HedgeBudget() int {
	return int(p.cfg.HedgePercent / 100 * float64(p.stats.Tokens))
}

func (p *Plan) hedgeBudgetAllows(tokens int) bool {
	return p.stats.HedgeWasted+p.hedgeReserved+tokens <= p.HedgeBudget()
}

// cancelOverBudget cancels second copies that generated more tokens than were
// reserved for them if the hedge budget is exhausted.
func (p *Plan) cancelOverBudget(ids []RunID, now time.Duration) []Action {
	var acts []Action
	for _, id := range ids {
		r := p.runs[id]
		if r == nil || !r.isHedge {
			continue
		}
		used := r.tokens - r.resumedTokens
		if parent := p.runs[r.parent]; parent != nil {
			used = max(used, parent.tokens-r.resumedTokens)
		}
		if used > r.reservedTokens {
			p.hedgeReserved += used - r.reservedTokens
			r.reservedTokens = used
		}
		if p.stats.HedgeWasted+p.hedgeReserved > p.HedgeBudget() {
			acts = append(acts, p.abandon(r, now, "hedge budget spent"))
		}
	}
	return acts
}
