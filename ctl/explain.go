package ctl

import (
	"cmp"
	"context"
	"net/url"
	"slices"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
)

func (t *tool) explainCommand() *ffcli.Command {
	var output outputFlag
	set := t.flagSet("explain")
	output.register(set)
	entries := set.String("entries", "", "HTTP addresses of the entries to ask, IP:port,…")
	token := set.String("token", "", "operator's token, whose sha256 is in the manifest's [fleet] operator_sha256; by "+envPrefix+"_TOKEN other users of the machine don't see it")
	timeout := set.Duration("timeout", 5*time.Second, "longest time for the whole command")
	return t.command(set, "ID", "show why a request or sample was routed, held or refused", 1, 1,
		func(ctx context.Context, args []string) error {
			if err := output.check(); err != nil {
				return err
			}
			addrs, err := addresses("entries", *entries)
			if err != nil {
				return err
			}
			if len(addrs) == 0 {
				return usageError("--entries is missing")
			}
			if *token == "" {
				return usageError("--token is missing, or %s_TOKEN: only operators may ask", envPrefix)
			}
			ctx, cancel := context.WithTimeout(ctx, *timeout)
			defer cancel()
			return t.explain(ctx, output.form, addrs, *token, args[0])
		})
}

// decision is a decision record as an entry tells it.
type decision struct {
	AtMS    int64  `json:"at_ms"`
	Process string `json:"process"`
	Part    string `json:"part"`
	ID      string `json:"id"`
	What    string `json:"what"`
	Why     string `json:"why"`
	TraceID string `json:"trace_id,omitempty"`
}

// explanation is an entry's answer and the output of explain.
type explanation struct {
	ID        string     `json:"id"`
	Decisions []decision `json:"decisions"`
	NoAnswer    []string   `json:"silent"` // processes that gave no answer; their records are missing
}

// explain asks every entry: only the one that had the request knows of it, and
// several may have asked the same agent.
func (t *tool) explain(ctx context.Context, form string, addrs []string, token, id string) error {
	all := explanation{ID: id, Decisions: []decision{}, NoAnswer: []string{}}
	var lastErr error
	for _, addr := range addrs {
		var answer explanation
		if err := getJSON(ctx, addr, "/v1/explain/"+url.PathEscape(id), token, &answer); err != nil {
			lastErr = err
			all.NoAnswer = append(all.NoAnswer, addr)
			continue
		}
		all.Decisions = append(all.Decisions, answer.Decisions...)
		all.NoAnswer = append(all.NoAnswer, answer.NoAnswer...)
	}
	if len(all.Decisions) == 0 && lastErr != nil {
		return fail(ExitFailed, "no records of %q, and not every process answered: %w", id, lastErr)
	}
	slices.SortStableFunc(all.Decisions, compareDecisions)
	all.Decisions = slices.Compact(all.Decisions)
	slices.Sort(all.NoAnswer)
	all.NoAnswer = slices.Compact(all.NoAnswer)
	if form == outputJSON {
		return t.printJSON(all)
	}
	return t.printExplanation(all)
}

func compareDecisions(a, b decision) int {
	return cmp.Or(cmp.Compare(a.AtMS, b.AtMS), cmp.Compare(a.Process, b.Process),
		cmp.Compare(a.Part, b.Part), cmp.Compare(a.What, b.What), cmp.Compare(a.Why, b.Why))
}

func (t *tool) printExplanation(all explanation) error {
	if len(all.Decisions) == 0 {
		return fail(ExitFailed, "no records of %q; processes keep them for a limited time only", all.ID)
	}
	rows := make([][]string, len(all.Decisions))
	for i, d := range all.Decisions {
		at := time.UnixMilli(d.AtMS).UTC().Format("15:04:05.000")
		rows[i] = []string{at, d.Process, d.Part, d.ID, d.What, d.Why}
	}
	if err := t.printTable([]string{"TIME", "PROCESS", "PART", "ID", "DECISION", "WHY"}, rows); err != nil {
		return err
	}
	if len(all.NoAnswer) > 0 {
		return t.printTable(nil, [][]string{{"no answer from", strings.Join(all.NoAnswer, ", ")}})
	}
	return nil
}
