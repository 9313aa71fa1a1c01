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

// account puts the row of a run together.
func (r *run) account(ctx context.Context, a *apps) (report.Row, error) {
	runs, err := serviceRuns(ctx, r.site)
	if err != nil {
		return report.Row{}, errors.Trace(err)
	}
	made, err := r.tokensMade(ctx)
	if err != nil {
		return report.Row{}, errors.Trace(err)
	}
	lengths := r.site.Engine.LengthModel()
	row := report.Row{
		Deployment: r.site.Deployment.Name, Scenario: r.cfg.Scenario.Name, Policy: r.site.Policy, Seed: r.cfg.Seed,
		AppP50MS: ms(a.latency.ValueAtQuantile(50)), AppP99MS: ms(a.latency.ValueAtQuantile(99)),
		AppOKShare:       share(float64(a.ok), float64(a.asked)),
		ConfigSeconds:    r.config.Seconds(),
		WastedTokenShare: 1 - share(float64(r.tokensUsed(a)), float64(made)),
	}
	row.Counts.Add(judge.CheckSteps(r.steps, lengths))
	row.Counts.Add(judge.CheckCompletions(a.completions, lengths))
	row.Counts.Add(judge.CheckCalls(a.calls, runs))
	if !r.cfg.Scenario.Crashes {
		row.CutInFlight = judge.CountInterrupted(a.results())
	}
	r.stepFigures(&row)
	return row, nil
}

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

func (r *run) stepFigures(row *report.Row) {
	var took, ideals []float64
	var waited, worked time.Duration
	var stale, staleMax, tokens float64
	for i := range r.steps {
		s := &r.steps[i]
		took = append(took, s.Duration.Seconds()*1000)
		ideals = append(ideals, r.ideals[i].Seconds()*1000)
		waited += s.IdleTime
		worked += s.TrainTime
		for _, m := range s.Samples {
			spans, n, _ := truth.Check(m.Prompt, m.Seed, m.Text)
			tokens += float64(n)
			for _, span := range spans {
				age := math.Max(0, float64(max(s.Newest, m.Newest))-float64(span.Version))
				stale += age * float64(span.To-span.From)
				staleMax = math.Max(staleMax, age)
			}
		}
	}
	row.StepP50MS, row.StepP99MS = quantile(took, 0.5), quantile(took, 0.99)
	row.IdealStepMS = quantile(ideals, 0.5)
	row.IdealRatio = share(row.StepP50MS, row.IdealStepMS)
	row.TrainerIdleShare = share(waited.Seconds(), (waited + worked).Seconds())
	row.StalenessMeanVersions = share(stale, tokens)
	row.StalenessMaxVersions = staleMax
}

// tokensUsed counts the tokens that reached a trainer or a caller in whole
// answers, each sample once.
func (r *run) tokensUsed(a *apps) int {
	used := 0
	count := func(prompt string, seed uint64, text string) {
		_, n, _ := truth.Check(prompt, seed, text)
		used += n
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
	return used
}

// tokensMade sums what all engines made, those killed included.
func (r *run) tokensMade(ctx context.Context) (int64, error) {
	r.mu.Lock()
	made := r.lostTo.Tokens
	r.mu.Unlock()
	for _, p := range r.site.ByRole(site.RoleEngine) {
		if r.dead[p.Name] {
			continue
		}
		t, err := engineTotals(ctx, p)
		if err != nil {
			return 0, errors.Trace(err)
		}
		made += t.Tokens
	}
	return made, nil
}

func engineTotals(ctx context.Context, p site.Process) (engine.Totals, error) {
	var t engine.Truth
	err := site.SendJSON(ctx, http.MethodGet, p.URL+"/truth?totals=1", nil, &t)
	return t.Totals, errors.Annotate(err, p.Name)
}

// serviceRuns reads every run of the plain services' stand-ins.
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

func ms(us int64) float64 { return float64(us) / 1000 }

// share is a/b, 0 where b is 0.
func share(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}

// quantile is the smallest value that at least share q of the values do not
// exceed.
func quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	i := int(math.Ceil(q*float64(len(sorted)))) - 1
	return sorted[min(max(i, 0), len(sorted)-1)]
}
