package commands

import (
	"bufio"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/peterbourgon/ff/v3/ffcli"

	"dandelionsill.org/load/judge"
	"dandelionsill.org/load/site"
	"dandelionsill.org/standin/service"
	standin "dandelionsill.org/standin/trainer"
	"dandelionsill.org/standin/truth"
)

const maxLine = 64 << 20 // bytes of one JSON line

// judgeFlags name what judge compares.
type judgeFlags struct {
	calls, completions, steps string // records of this program
	trainer                   string // records of the trainer stand-in
	services                  string
	lengths                   judge.LengthModel
	bound                     uint64
	version                   uint64
}

func judgeCommand(w io.Writer) *ffcli.Command {
	var f judgeFlags
	return command("judge", "Compare records with the stand-ins' ground truth; fails on a broken promise.",
		func(fs *flag.FlagSet) {
			fs.StringVar(&f.calls, "calls", "", "records of call, comma separated files")
			fs.StringVar(&f.completions, "completions", "", "records of complete")
			fs.StringVar(&f.steps, "steps", "", "records of step")
			fs.StringVar(&f.trainer, "trainer", "", "records of \"dandelion-standin trainer --out\"")
			fs.StringVar(&f.services, "services", "", "base URLs of the service stand-ins, comma separated")
			fs.Float64Var(&f.lengths.Mean, "mean-tokens", 300, "the engine stand-ins' --mean-tokens")
			fs.Float64Var(&f.lengths.Sigma, "sigma", 0.8, "the engine stand-ins' --sigma")
			fs.Uint64Var(&f.bound, "bound", 2, "the trainer's staleness bound in the manifest")
			fs.Uint64Var(&f.version, "version", 0, "weights that must have made part of the last step; 0: any")
		},
		func(ctx context.Context) error { return f.judge(ctx, w) })
}

func (f *judgeFlags) judge(ctx context.Context, w io.Writer) error {
	var (
		calls       []judge.Call
		completions []judge.Completion
		steps       []judge.Step
	)
	for _, file := range strings.Split(f.calls, ",") {
		var some []judge.Call
		if err := read(file, &some); err != nil {
			return errors.Trace(err)
		}
		calls = append(calls, some...)
	}
	if err := firstError(read(f.completions, &completions), read(f.steps, &steps)); err != nil {
		return errors.Trace(err)
	}
	trained, err := trainerSteps(f.trainer, f.bound)
	if err != nil {
		return errors.Trace(err)
	}
	steps = append(steps, trained...)
	runs, err := runsOf(ctx, f.services)
	if err != nil {
		return errors.Trace(err)
	}
	var c judge.Counts
	c.Add(judge.CheckCalls(calls, runs))
	c.Add(judge.CheckCompletions(completions, f.lengths))
	c.Add(judge.CheckSteps(steps, f.lengths))
	tellCalls(w, calls, completions, len(runs))
	newest := tellSteps(w, steps)
	if err := tell(w, c); err != nil {
		return err
	}
	if newest < f.version {
		return errors.Errorf("version %d made nothing of the last step; the newest that did is %d", f.version, newest)
	}
	return nil
}

// trainerSteps reads the trainer stand-in's JSON lines.
func trainerSteps(file string, bound uint64) ([]judge.Step, error) {
	if file == "" {
		return nil, nil
	}
	f, err := os.Open(file)
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer func() { _ = f.Close() }()
	var (
		steps   []judge.Step
		samples []judge.Sample // of the step whose own line is still to come
		newest  uint64
	)
	lines := bufio.NewScanner(f)
	lines.Buffer(make([]byte, 64<<10), maxLine)
	for lines.Scan() {
		var rec standin.Record
		if err := json.Unmarshal(lines.Bytes(), &rec); err != nil {
			return nil, errors.Annotate(err, file)
		}
		if m := rec.Sample; m != nil {
			samples = append(samples, sampleOf(m))
			newest = m.Newest
		}
		if s := rec.Step; s != nil {
			steps = append(steps, judge.Step{
				Trainer: "trainer", Step: s.Step, Newest: newest, Bound: bound, Requested: s.Samples - s.Duplicated + s.Lost,
				Duration: time.Duration(s.MakespanMS * float64(time.Millisecond)), Samples: samples,
			})
			samples = nil
		}
	}
	return steps, errors.Annotate(lines.Err(), file)
}

func sampleOf(m *standin.SampleRecord) judge.Sample {
	out := judge.Sample{
		Group: m.Group, Index: int(m.Index), Prompt: m.Prompt, Seed: m.Seed, MaxTokens: m.MaxTokens, Text: m.Text,
	}
	for _, sp := range m.Spans {
		out.Spans = append(out.Spans, truth.Span{Version: sp.Version, From: int(sp.From), To: int(sp.To)})
	}
	return out
}

func tellCalls(w io.Writer, calls []judge.Call, completions []judge.Completion, runs int) {
	sums := newOutcomes()
	for i := range calls {
		sums.add(calls[i].Result)
	}
	if len(calls) > 0 {
		fmt.Fprintf(w, "%d calls, %d runs at the services: ", len(calls), runs)
		sums.print(w, 0)
	}
	sums = newOutcomes()
	for i := range completions {
		sums.add(completions[i].Result)
	}
	if len(completions) > 0 {
		fmt.Fprintf(w, "%d completions: ", len(completions))
		sums.print(w, 0)
	}
}

// tellSteps prints a line for each step and returns the newest version that
// made a token of the last one.
func tellSteps(w io.Writer, steps []judge.Step) (newest uint64) {
	for i := range steps {
		s := &steps[i]
		tokens := map[uint64]int{}
		newest = 0
		for _, m := range s.Samples {
			spans, _, _ := truth.Check(m.Prompt, m.Seed, m.Text)
			for _, span := range spans {
				tokens[span.Version] += span.To - span.From
				newest = max(newest, span.Version)
			}
		}
		fmt.Fprintf(w, "%s step %d: %d of %d samples after %.0f ms, newest weights %d, tokens by version %v %s\n",
			s.Trainer, s.Step, len(s.Samples), s.Requested, s.Duration.Seconds()*1000, s.Newest, tokens, s.Error)
	}
	return newest
}

func tell(w io.Writer, c judge.Counts) error {
	data, err := json.Marshal(c)
	if err != nil {
		return errors.Trace(err)
	}
	fmt.Fprintln(w, string(data))
	if n := c.Total(); n > 0 {
		return errors.Errorf("%d promises broken", n)
	}
	return nil
}

func read(file string, into any) error {
	if file == "" {
		return nil
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return errors.Trace(err)
	}
	return errors.Annotate(json.Unmarshal(data, into), file)
}

func runsOf(ctx context.Context, urls string) ([]service.Run, error) {
	var runs []service.Run
	for _, url := range strings.Split(urls, ",") {
		if url == "" {
			continue
		}
		var t service.Truth
		if err := site.SendJSON(ctx, http.MethodGet, url+"/truth", nil, &t); err != nil {
			return nil, errors.Trace(err)
		}
		runs = append(runs, t.List...)
	}
	return runs, nil
}
