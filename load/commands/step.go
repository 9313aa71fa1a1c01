package commands

import (
	"context"
	"flag"
	"fmt"
	"io"
	"strings"
	"sync/atomic"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"dandelionsill.org/load/judge"
	"dandelionsill.org/load/rollout"
)

func stepCommand(w io.Writer) *ffcli.Command {
	var (
		cfg     rollout.Config
		entries string
		newest  uint64
		out     string
	)
	return command("step", "Run a trainer's steps.",
		func(fs *flag.FlagSet) {
			fs.StringVar(&entries, "entries", "", "base URLs of the entries, comma separated")
			fs.StringVar(&cfg.Token, "token", "", "the trainer's bearer token")
			fs.StringVar(&cfg.Name, "name", "trainer-1", "the trainer's name in the manifest")
			fs.StringVar(&cfg.Model, "model", "", "the model")
			fs.StringVar(&cfg.Store, "store", "", "base URL of the weight store, for --publish-every")
			fs.IntVar(&cfg.Steps, "steps", 1, "how many")
			fs.IntVar(&cfg.Groups, "groups", 8, "groups of a step")
			fs.IntVar(&cfg.Samples, "samples", 4, "samples of a group")
			fs.IntVar(&cfg.MaxTokens, "max-tokens", 256, "of a sample")
			fs.IntVar(&cfg.PromptChars, "prompt-chars", 600, "length of a prompt")
			fs.Uint64Var(&cfg.Bound, "bound", 2, "staleness bound in the manifest, for judge")
			fs.Uint64Var(&cfg.Seed, "seed", 1, "seed of prompts and samples")
			fs.DurationVar(&cfg.StepTimeout, "timeout", time.Minute, "a step that takes longer is lost")
			fs.DurationVar(&cfg.TrainTime, "train", 0, "the trainer's own work after a step")
			fs.IntVar(&cfg.PublishEvery, "publish-every", 0, "new weights after so many steps; 0: never")
			fs.IntVar(&cfg.WeightBytes, "weight-bytes", 1<<20, "size of new weights")
			fs.Uint64Var(&newest, "newest", 1, "the trainer's newest version at the start")
			fs.StringVar(&out, "out", "", "file for the records, for judge; empty: none")
		},
		func(ctx context.Context) error {
			cfg.Entries = strings.Split(entries, ",")
			cfg.NewestVersion = &atomic.Uint64{}
			cfg.NewestVersion.Store(newest)
			cfg.OnStep = func(s judge.Step) {
				fmt.Fprintf(w, "step %d: %d of %d samples after %.0f ms, newest version %d %s\n",
					s.Step, len(s.Samples), s.Requested, s.Duration.Seconds()*1000, s.Newest, s.Error)
			}
			steps, err := rollout.Run(ctx, cfg)
			return firstError(err, save(out, steps))
		})
}
