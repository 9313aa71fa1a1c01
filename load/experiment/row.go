package experiment

import (
	"context"
	"math"
	"net/http"
	"slices"
	"time"

	"github.com/juju/errors"

	"dandelionsill.org/load/client"
	"dandelionsill.org/load/judge"
	"dandelionsill.org/load/report"
	"dandelionsill.org/load/site"
	"dandelionsill.org/standin/engine"
	"dandelionsill.org/standin/service"
	"dandelionsill.org/standin/truth"
)

// buildRow computes the row of a run from the records, the stand-ins' ground truth
// and the totals of the engines.
func (r *run) buildRow(ctx context.Context, a *apps) (report.Row, error) {
	runs, err := serviceRuns(ctx, r.site)
	if err != nil {
		return report.Row{}, errors.Trace(err)
	}
	generated, err := r.generatedTokens(ctx)
	if err != nil {
		return report.Row{}, errors.Trace(err)
	}
	lengths := r.site.Engine.LengthModel()
	row := report.Row{
		Deployment: r.site.Deployment.Name, Scenario: r.cfg.Scenario.Name, Policy: r.site.Policy, Seed: r.cfg.Seed,
		AppP50MS: microsToMillis(a.latency.ValueAtQuantile(50)), AppP99MS: microsToMillis(a.latency.ValueAtQuantile(99)),
		AppOKShare:       ratio(float64(a.ok), float64(a.requested)),
		ConfigSeconds:    r.configTime.Seconds(),
		WastedTokenShare: 1 - ratio(float64(r.deliveredTokens(a)), float64(generated)),
	}
	row.Counts.Add(judge.CheckSteps(r.steps, lengths))
	row.Counts.Add(judge.CheckCompletions(a.completions, lengths))
	row.Counts.Add(judge.CheckCalls(a.calls, runs))
	if !r.cfg.Scenario.Crashes {
		row.CutInFlight = judge.CountInterrupted(a.results())
	}
	r.addStepFigures(&row)
	return row, nil
}

// results returns the results of all calls and completions.
func (a *apps) results() []client.Result {
	var list []client.Result
	for i := range a.calls {
		list = append(list, a.calls[i].Result)
	}
	for i := range a.completions {
		list = append(list, a.completions[i].Result)
	}
	return list
}

// addStepFigures fills in the columns that are computed from the trainers' steps.
func (r *run) addStepFigures(row *report.Row) {
	var durations, ideals []float64
	var idle, trained time.Duration
	var staleTokens, maxAge, tokens float64
	for i := range r.steps {
		s := &r.steps[i]
		durations = append(durations, s.Duration.Seconds()*1000)
		ideals = append(ideals, r.idealTimes[i].Seconds()*1000)
		idle += s.IdleTime
		trained += s.TrainTime
		for _, m := range s.Samples {
			spans, n, _ := truth.Check(m.Prompt, m.Seed, m.Text)
			tokens += float64(n)
			for _, span := range spans {
				age := math.Max(0, float64(max(s.Newest, m.Newest))-float64(span.Version))
				staleTokens += age * float64(span.To-span.From)
				maxAge = math.Max(maxAge, age)
			}
		}
	}
	row.StepP50MS, row.StepP99MS = quantile(durations, 0.5), quantile(durations, 0.99)
	row.IdealStepMS = quantile(ideals, 0.5)
	row.IdealRatio = ratio(row.StepP50MS, row.IdealStepMS)
	row.TrainerIdleShare = ratio(idle.Seconds(), (idle + trained).Seconds())
	row.StalenessMeanVersions = ratio(staleTokens, tokens)
	row.StalenessMaxVersions = maxAge
}

// deliveredTokens returns the number of tokens that trainers and callers received
// in complete answers. Each sample counts once.
func (r *run) deliveredTokens(a *apps) int {
	delivered := 0
	count := func(prompt string, seed uint64, text string) {
		_, n, _ := truth.Check(prompt, seed, text)
		delivered += n
	}
	for i := range r.steps {
		for _, m := range r.steps[i].Samples {
			count(m.Prompt, m.Seed, m.Text)
		}
	}
	for i := range a.completions {
		if c := &a.completions[i]; c.Result.OK() {
			count(c.Prompt, c.Seed, c.Text)
		}
	}
	return delivered
}

// generatedTokens returns the number of tokens that all engines generated,
// including the killed ones.
func (r *run) generatedTokens(ctx context.Context) (int64, error) {
	r.mu.Lock()
	generated := r.killedTotals.Tokens
	r.mu.Unlock()
	for _, p := range r.site.ByRole(site.RoleEngine) {
		if r.stopped[p.Name] {
			continue
		}
		t, err := engineTotals(ctx, p)
		if err != nil {
			return 0, errors.Trace(err)
		}
		generated += t.Tokens
	}
	return generated, nil
}

func engineTotals(ctx context.Context, p site.Process) (engine.Totals, error) {
	var t engine.Truth
	err := site.SendJSON(ctx, http.MethodGet, p.URL+"/truth?totals=1", nil, &t)
	return t.Totals, errors.Annotate(err, p.Name)
}

// serviceRuns returns all runs that the plain services' stand-ins recorded.
func serviceRuns(ctx context.Context, s *site.Site) ([]service.Run, error) {
	var runs []service.Run
	for _, p := range s.ByRole(site.RoleService) {
		var t service.Truth
		if err := site.SendJSON(ctx, http.MethodGet, p.URL+"/truth", nil, &t); err != nil {
			return nil, errors.Annotate(err, p.Name)
		}
		runs = append(runs, t.List...)
	}
	return runs, nil
}

func microsToMillis(micros int64) float64 { return float64(micros) / 1000 }

// ratio returns a/b, 0 if b is 0.
func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}

// quantile returns the smallest value v for which at least a share q of the values
// is less than or equal to v, and 0 if there are no values.
func quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	i := int(math.Ceil(q*float64(len(sorted)))) - 1
	return sorted[min(max(i, 0), len(sorted)-1)]
}
