package report

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
)

// Scenarios and Policies are in the order in which tables show them.
var (
	Scenarios = strings.Fields("steady stragglers weights shared apps crash freeze log-outage leave overload")
	Policies  = strings.Fields("baseline dandelionsill hints no-hedge no-move no-affinity no-longest-first no-late-binding no-resume no-waves")
)

// Sort orders rows by deployment, scenario, policy and seed.
func Sort(rows []Row) {
	slices.SortStableFunc(rows, func(a, b Row) int {
		return cmp.Or(
			cmp.Compare(a.Deployment, b.Deployment),
			cmp.Compare(rank(Scenarios, a.Scenario), rank(Scenarios, b.Scenario)),
			cmp.Compare(rank(Policies, a.Policy), rank(Policies, b.Policy)),
			cmp.Compare(a.Seed, b.Seed),
		)
	})
}

// rank returns the index of item in list; unknown items rank last.
func rank(list []string, item string) int {
	if i := slices.Index(list, item); i >= 0 {
		return i
	}
	return len(list)
}

// Table writes the rows as a table, with one line for each.
func Table(w io.Writer, rows []Row) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "deployment\tscenario\tpolicy\tseed\tstep p50\tp99 ms\tideal\tratio\tidle\tstale\tmax\twasted\tapp p50\tp99 ms\tok\tbroken\tconfig s\t")
	for _, r := range rows {
		fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%.0f\t%.0f\t%.0f\t%.2f\t%.3f\t%.2f\t%.0f\t%.3f\t%.1f\t%.1f\t%.3f\t%s\t%.2f\t\n",
			r.Deployment, r.Scenario, r.Policy, r.Seed, r.StepP50MS, r.StepP99MS, r.IdealStepMS, r.IdealRatio,
			r.TrainerIdleShare, r.StalenessMeanVersions, r.StalenessMaxVersions, r.WastedTokenShare,
			r.AppP50MS, r.AppP99MS, r.AppOKShare, formatFaults(r), r.ConfigSeconds)
	}
	return t.Flush()
}

// formatFaults lists the violated guarantees of a row with their counts, "0" if
// there are none.
func formatFaults(r Row) string {
	var list []string
	for _, c := range []struct {
		name string
		n    int
	}{
		{"lost", r.SamplesLost}, {"dup", r.SamplesDuplicated}, {"label", r.LabelsWrong}, {"bound", r.OverBound},
		{"doubled", r.WritesDoubled}, {"notrun", r.FalseNotRun}, {"cut", r.CutInFlight}, {"wrong", r.AnswersWrong},
	} {
		if c.n > 0 {
			list = append(list, fmt.Sprintf("%s:%d", c.name, c.n))
		}
	}
	if list == nil {
		return "0"
	}
	return strings.Join(list, ",")
}
