package permits

import (
	"math"
	"time"

	"dandelionsill.org/decide/evidence"
	decide "dandelionsill.org/decide/permits"
	"dandelionsill.org/decide/residency"
	"dandelionsill.org/wire/pb"
)

// Times travel as whole milliseconds or microseconds, and negative ones as 0.
func toMillis(d time.Duration) uint32 { return toUint32(d, time.Millisecond) }
func toMicros(d time.Duration) uint32 { return toUint32(d, time.Microsecond) }

func toUint32(d, unit time.Duration) uint32 {
	return uint32(min(max(0, d/unit), math.MaxUint32))
}

func fromMillis(n uint32) time.Duration { return time.Duration(n) * time.Millisecond }

func encodeAsk(ask decide.Ask) *pb.PermitAsk {
	return &pb.PermitAsk{
		Id: ask.ID.Number, Route: ask.Route, Organisation: ask.Organisation, Internal: ask.Internal, Priority: int32(ask.Priority),
		ObjectiveMs: toMillis(ask.Objective), DeadlineMs: toMillis(ask.Deadline), Repeatable: ask.Repeatable, NoWait: ask.NoWait, Avoid: ask.Avoid,
		Regions: ask.Regions.Names(), Spill: ask.Spill,
	}
}

func decodeAsk(g *gateway, ask *pb.PermitAsk) decide.Ask {
	return decide.Ask{
		ID: decide.AskID{Gateway: g.name, Number: ask.GetId()}, Domain: g.domain, Region: g.region, Route: ask.GetRoute(), Organisation: ask.GetOrganisation(),
		Internal: ask.GetInternal(), Priority: int(ask.GetPriority()), Objective: fromMillis(ask.GetObjectiveMs()),
		Deadline: fromMillis(ask.GetDeadlineMs()), Repeatable: ask.GetRepeatable(), NoWait: ask.GetNoWait(), Avoid: ask.GetAvoid(),
		Regions: residency.Only(ask.GetRegions()), Spill: ask.GetSpill(),
	}
}

var toOutcome = map[evidence.Outcome]pb.PermitOutcome{
	evidence.Unused: pb.PermitOutcome_PERMIT_UNUSED, evidence.Answered: pb.PermitOutcome_PERMIT_ANSWERED,
	evidence.Failed: pb.PermitOutcome_PERMIT_FAILED, evidence.Refused: pb.PermitOutcome_PERMIT_REFUSED,
	evidence.Unreachable: pb.PermitOutcome_PERMIT_UNREACHABLE, evidence.Abandoned: pb.PermitOutcome_PERMIT_ABANDONED,
}

var fromOutcome = func() map[pb.PermitOutcome]evidence.Outcome {
	inverse := map[pb.PermitOutcome]evidence.Outcome{}
	for outcome, encoded := range toOutcome {
		inverse[encoded] = outcome
	}
	return inverse
}()

// decodeReport takes an outcome of a later release as Abandoned, which says nothing of the server.
func decodeReport(gateway string, r *pb.PermitReport) decide.Report {
	outcome, ok := fromOutcome[r.GetOutcome()]
	if !ok {
		outcome = evidence.Abandoned
	}
	return decide.Report{
		ID: decide.AskID{Gateway: gateway, Number: r.GetId()}, Server: r.GetServer(), Route: r.GetRoute(),
		Took: time.Duration(r.GetTookUs()) * time.Microsecond, Outcome: outcome,
	}
}

func encodeDecision(d decide.Decision) *pb.PermitDecision {
	encoded := &pb.PermitDecision{Id: d.ID.Number, RetryAfterMs: toMillis(d.RetryAfter), WaitMs: toMillis(d.Wait), ExpectedUs: toMicros(d.Expected), Reason: d.Reason}
	switch d.Kind {
	case decide.Granted:
		encoded.Server, encoded.LastChoice = d.Server, d.LastChoice
	case decide.Queued:
		encoded.Queued = true
	case decide.Refused:
		encoded.Refused = string(d.Refusal)
	}
	return encoded
}

// decodeDecision returns false for a decision of a kind that this release does not know.
func decodeDecision(d *pb.PermitDecision) (decide.Decision, bool) {
	decoded := decide.Decision{
		ID: decide.AskID{Number: d.GetId()}, Server: d.GetServer(), Refusal: decide.Refusal(d.GetRefused()),
		RetryAfter: fromMillis(d.GetRetryAfterMs()), Wait: fromMillis(d.GetWaitMs()), Expected: time.Duration(d.GetExpectedUs()) * time.Microsecond, Reason: d.GetReason(), LastChoice: d.GetLastChoice(),
	}
	switch {
	case d.GetServer() != "":
		decoded.Kind = decide.Granted
	case d.GetQueued():
		decoded.Kind = decide.Queued
	case d.GetRefused() != "":
		decoded.Kind = decide.Refused
	default:
		return decide.Decision{}, false
	}
	return decoded, true
}
