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

// judgeFlags holds the flags of judge: which records it compares with which ground
// truth.
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
	return newCommand("judge", "Compare records with the stand-ins' ground truth; fails on a broken promise.",
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
		func(ctx context.Context) error { return f.run(ctx, w) })
}

// run prints the counts of violated guarantees; any violation is an error.
func (f *judgeFlags) run(ctx context.Context, w io.Writer) error {
	var (
		calls       []judge.Call
		completions []judge.Completion
		steps       []judge.Step
	)
	for _, file := range strings.Split(f.calls, ",") {
		var batch []judge.Call
		if err := readJSON(file, &batch); err != nil {
			return errors.Trace(err)
		}
		calls = append(calls, batch...)
	}
	if err := firstError(readJSON(f.completions, &completions), readJSON(f.steps, &steps)); err != nil {
		return errors.Trace(err)
	}
	trained, err := trainerSteps(f.trainer, f.bound)
	if err != nil {
		return errors.Trace(err)
	}
	steps = append(steps, trained...)
	runs, err := fetchServiceRuns(ctx, f.services)
	if err != nil {
		return errors.Trace(err)
	}
	var counts judge.Counts
	counts.Add(judge.CheckCalls(calls, runs))
	counts.Add(judge.CheckCompletions(completions, f.lengths))
	counts.Add(judge.CheckSteps(steps, f.lengths))
	printCalls(w, calls, completions, len(runs))
	newest := printSteps(w, steps)
	if err := printCounts(w, counts); err != nil {
		return err
	}
	if newest < f.version {
		return errors.Errorf("version %d generated no token of the last step; the newest that did is %d", f.version, newest)
	}
	return nil
}

// trainerSteps reads steps from the JSON lines of the trainer stand-in.
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
		samples []judge.Sample // of the step whose line has not been read yet
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
			samples = append(samples, judgeSample(m))
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

func judgeSample(m *standin.SampleRecord) judge.Sample {
	out := judge.Sample{
		Group: m.Group, Index: int(m.Index), Prompt: m.Prompt, Seed: m.Seed, MaxTokens: m.MaxTokens, Text: m.Text,
	}
	for _, span := range m.Spans {
		out.Spans = append(out.Spans, truth.Span{Version: span.Version, From: int(span.From), To: int(span.To)})
	}
	return out
}

func printCalls(w io.Writer, calls []judge.Call, completions []judge.Completion, runs int) {
	counts := newOutcomes()
	for i := range calls {
		counts.add(calls[i].Result)
	}
	if len(calls) > 0 {
		fmt.Fprintf(w, "%d calls, %d runs at the services: ", len(calls), runs)
		counts.print(w, 0)
	}
	counts = newOutcomes()
	for i := range completions {
		counts.add(completions[i].Result)
	}
	if len(completions) > 0 {
		fmt.Fprintf(w, "%d completions: ", len(completions))
		counts.print(w, 0)
	}
}

// printSteps prints a line for each step and returns the newest version that
// generated a token of the last step.
func printSteps(w io.Writer, steps []judge.Step) (newest uint64) {
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

// printCounts prints the counts as JSON. Any violation is an error.
func printCounts(w io.Writer, c judge.Counts) error {
	data, err := json.Marshal(c)
	if err != nil {
		return errors.Trace(err)
	}
	fmt.Fprintln(w, string(data))
	if n := c.Total(); n > 0 {
		return errors.Errorf("%d violations of guarantees", n)
	}
	return nil
}

// readJSON decodes a file into out; an empty name reads nothing.
func readJSON(file string, out any) error {
	if file == "" {
		return nil
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return errors.Trace(err)
	}
	return errors.Annotate(json.Unmarshal(data, out), file)
}

// fetchServiceRuns returns all runs that the service stand-ins at the comma-separated
// base URLs recorded.
func fetchServiceRuns(ctx context.Context, urls string) ([]service.Run, error) {
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
