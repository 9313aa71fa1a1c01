// Package commands holds the subcommands of dandelion-load.
package commands

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/juju/errors"
	"github.com/peterbourgon/ff/v3/ffcli"

	"dandelionsill.org/load/experiment"
	"dandelionsill.org/load/report"
	"dandelionsill.org/load/site"
)

// All returns every subcommand; they print to w.
func All(w io.Writer) []*ffcli.Command {
	return []*ffcli.Command{
		siteCommand(w), upCommand(w), waitCommand(), registerCommand(w), experimentCommand(w), summarizeCommand(w),
		callCommand(w), completeCommand(w), stepCommand(w), judgeCommand(w),
	}
}

// command puts a subcommand together. Operands are not expected.
func command(name, help string, flags func(*flag.FlagSet), exec func(context.Context) error) *ffcli.Command {
	fs := flag.NewFlagSet(name, flag.ExitOnError)
	flags(fs)
	return &ffcli.Command{
		Name: name, ShortUsage: "dandelion-load " + name + " [flags]", ShortHelp: help, FlagSet: fs,
		Exec: func(ctx context.Context, args []string) error {
			if len(args) > 0 {
				return errors.Errorf("%s: unexpected argument %q", name, args[0])
			}
			return errors.Annotate(exec(ctx), name)
		},
	}
}

func siteCommand(w io.Writer) *ffcli.Command {
	var (
		o          site.Options
		deployment string
	)
	o.PublicKey, _ = site.SigningKey()
	return command("site", "Lay a site out: settings files, site.json and plan.txt (which says what to start).",
		func(fs *flag.FlagSet) {
			fs.StringVar(&deployment, "deployment", "small", "spolek, lentelar or small")
			fs.IntVar(&o.NetOctet, "net", 7, "second octet of the loopback addresses")
			fs.StringVar(&o.Dir, "dir", "run/site", "folder for settings and logs")
			fs.StringVar(&o.BinDir, "bin", "bin", "folder of the binaries")
			fs.StringVar(&o.Policy, "policy", "dandelionsill", "mechanisms that are on")
			fs.Uint64Var(&o.Seed, "seed", 1, "seed of the stand-ins")
			fs.Float64Var(&o.TimeScale, "time-scale", 1, "factor on the engines' durations")
			fs.Float64Var(&o.StoreBytesPerSecond, "store-bytes-per-s", 0, "rate of the weight store; 0: no limit")
			fs.IntVar(&o.WeightSize, "weight-bytes", 1<<20, "size of a weight version")
			fs.Float64Var(&o.Engine.MeanTokens, "mean-tokens", 0, "mean length of a sample; 0: the default")
			fs.IntVar(&o.Engine.ChunkTokens, "chunk-tokens", 0, "tokens that an engine sends at once; 0: the default")
			fs.DurationVar(&o.Service.Mean, "service-time", 0, "mean time of a plain service's run; 0: 5ms")
		},
		func(context.Context) error {
			var err error
			if o.Deployment, err = site.Find(deployment); err != nil {
				return errors.Trace(err)
			}
			s, err := site.New(o)
			if err != nil {
				return errors.Trace(err)
			}
			if err := s.CheckAddressesFree(); err != nil {
				return errors.Trace(err)
			}
			fmt.Fprintf(w, "%s: %d processes laid out in %s\n", s.Deployment.Name, len(s.Processes), s.Dir)
			return errors.Trace(s.Save())
		})
}

// siteFlags adds the flag that names a laid-out site's folder.
func siteFlags(fs *flag.FlagSet, dir *string) {
	fs.StringVar(dir, "dir", "run/site", "folder that \"dandelion-load site\" wrote")
}

func upCommand(w io.Writer) *ffcli.Command {
	var (
		dir     string
		timeout time.Duration
	)
	return command("up", "Bring a started site into service: VM list, first manifest, wait until all are ready.",
		func(fs *flag.FlagSet) {
			siteFlags(fs, &dir)
			fs.DurationVar(&timeout, "timeout", 20*time.Second, "longest wait")
		},
		func(ctx context.Context) error {
			s, err := site.Load(dir)
			if err != nil {
				return errors.Trace(err)
			}
			ctx, cancel := context.WithTimeout(ctx, timeout)
			defer cancel()
			started := time.Now()
			if err := s.BringUp(ctx); err != nil {
				return errors.Trace(err)
			}
			fmt.Fprintf(w, "%s: %d agents and entries ready after %.1fs\n",
				s.Deployment.Name, len(s.AgentsAndEntries()), time.Since(started).Seconds())
			return nil
		})
}

func experimentCommand(w io.Writer) *ffcli.Command {
	var (
		dir, scenario, out string
		cfg                experiment.Config
	)
	return command("experiment", "Run one scenario against a site in service and write its row.",
		func(fs *flag.FlagSet) {
			siteFlags(fs, &dir)
			fs.StringVar(&scenario, "scenario", "steady", "what happens during the run")
			fs.DurationVar(&cfg.Duration, "for", 10*time.Second, "no step or call begins later")
			fs.Uint64Var(&cfg.Seed, "seed", 1, "seed of prompts, arrivals and kinds of calls")
			fs.IntVar(&cfg.Workload.Groups, "groups", 0, "groups of a step; 0: the default")
			fs.IntVar(&cfg.Workload.Samples, "samples", 0, "samples of a group; 0: the default")
			fs.IntVar(&cfg.Workload.MaxTokens, "max-tokens", 0, "of a sample; 0: the default")
			fs.IntVar(&cfg.Workload.PromptChars, "prompt-chars", 0, "length of a prompt; 0: the default")
			fs.IntVar(&cfg.Workload.MaxAhead, "ahead", 0, "steps that may be whole but not trained when the next is asked for")
			fs.StringVar(&out, "out", "", "file for the row; empty: row.json in the site's folder")
		},
		func(ctx context.Context) error {
			var err error
			if cfg.Site, err = site.Load(dir); err != nil {
				return errors.Trace(err)
			}
			if cfg.Scenario, err = experiment.Find(scenario); err != nil {
				return errors.Trace(err)
			}
			row, err := experiment.Run(ctx, cfg, w)
			if err != nil {
				return errors.Trace(err)
			}
			if out == "" {
				out = filepath.Join(dir, "row.json")
			}
			if err := report.Write(out, []report.Row{row}); err != nil {
				return errors.Trace(err)
			}
			return errors.Trace(report.Table(w, []report.Row{row}))
		})
}

func summarizeCommand(w io.Writer) *ffcli.Command {
	var (
		rows, out string
		plots     bool
	)
	return command("summarize", "Gather rows into summary.json, a table and plots.",
		func(fs *flag.FlagSet) {
			fs.StringVar(&rows, "rows", "bench-out/rows", "folder of row files")
			fs.StringVar(&out, "out", "bench-out", "folder for summary.json, table.txt and plots")
			fs.BoolVar(&plots, "plots", true, "draw plots")
		},
		func(context.Context) error {
			files, err := filepath.Glob(filepath.Join(rows, "*.json"))
			if err != nil {
				return errors.Trace(err)
			}
			var all []report.Row
			for _, file := range files {
				some, err := report.Read(file)
				if err != nil {
					return errors.Trace(err)
				}
				all = append(all, some...)
			}
			if len(all) == 0 {
				return errors.Errorf("no rows in %s", rows)
			}
			report.Sort(all)
			return errors.Trace(writeSummary(w, out, all, plots))
		})
}

func writeSummary(w io.Writer, out string, rows []report.Row, plots bool) error {
	if err := report.Write(filepath.Join(out, "summary.json"), rows); err != nil {
		return errors.Trace(err)
	}
	table, err := os.Create(filepath.Join(out, "table.txt"))
	if err != nil {
		return errors.Trace(err)
	}
	defer func() { _ = table.Close() }()
	if err := report.Table(io.MultiWriter(w, table), rows); err != nil {
		return errors.Trace(err)
	}
	if !plots {
		return nil
	}
	return errors.Trace(report.Plots(out, rows))
}
