package trainer

import (
	"bufio"
	"context"
	"encoding/json"
	"flag"
	"os"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/peterbourgon/ff/v3/ffcli"
)

// Command returns the subcommand "trainer" of dandelion-standin.
func Command() *ffcli.Command {
	var o Options
	var entries, out string
	fs := flag.NewFlagSet("dandelion-standin trainer", flag.ContinueOnError)
	fs.StringVar(&entries, "entries", "", "base URLs of the entries, comma separated")
	fs.StringVar(&o.Token, "token", "", "the trainer's bearer token")
	fs.StringVar(&o.Model, "model", "", "the model it trains")
	fs.StringVar(&o.WeightStore, "weights", "", "base URL of the weight store")
	fs.Int64Var(&o.WeightBytes, "weight-bytes", 1<<20, "size of a published version, in bytes")
	fs.Uint64Var(&o.FirstStep, "first-step", 1, "number of the first step")
	fs.IntVar(&o.Steps, "steps", 1, "steps to run")
	fs.IntVar(&o.Groups, "groups", 8, "groups of a step")
	fs.IntVar(&o.Samples, "samples", 8, "samples of a group")
	fs.IntVar(&o.MaxTokens, "max-tokens", 512, "longest sample, in tokens")
	fs.IntVar(&o.PromptWords, "prompt-words", defaultPromptWords, "words of a prompt")
	fs.DurationVar(&o.TrainTime, "train-time", time.Second, "time it trains on a step, as its groups come")
	fs.IntVar(&o.MaxUntrainedSteps, "ahead", 0, "steps that may be whole but not trained when the next is asked for")
	fs.IntVar(&o.PublishEvery, "publish-every", 0, "steps between new weight versions; 0: none")
	fs.Uint64Var(&o.Version, "version", 0, "newest version at the begin; 0: the store's latest")
	fs.Uint64Var(&o.Seed, "seed", 1, "seed of prompts and samples")
	fs.StringVar(&out, "out", "", "file for JSON lines; empty: none")
	return &ffcli.Command{
		Name:       "trainer",
		ShortUsage: "dandelion-standin trainer --entries URLS --token TOKEN --model NAME [flags]",
		ShortHelp:  "a trainer: asks for steps, records what it gets",
		FlagSet:    fs,
		Exec: func(ctx context.Context, _ []string) error {
			o.Entries = strings.FieldsFunc(entries, func(r rune) bool { return r == ',' || r == ' ' })
			return runToFile(ctx, o, out)
		},
	}
}

func runToFile(ctx context.Context, o Options, out string) error {
	if out == "" {
		return printReport(Run(ctx, o))
	}
	f, err := os.Create(out)
	if err != nil {
		return errors.Trace(err)
	}
	w := bufio.NewWriter(f)
	o.Out = w
	report, err := Run(ctx, o)
	if ferr := w.Flush(); err == nil {
		err = ferr
	}
	if cerr := f.Close(); err == nil {
		err = cerr
	}
	return printReport(report, err)
}

func printReport(r Report, err error) error {
	enc := json.NewEncoder(os.Stdout)
	enc.SetIndent("", "  ")
	if werr := enc.Encode(r); err == nil {
		err = werr
	}
	return errors.Trace(err)
}
