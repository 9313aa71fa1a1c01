// Command dandelion-load generates load on a site, runs the experiments of the bench
// and checks the results that callers and trainers received against the stand-ins'
// ground truth.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/peterbourgon/ff/v3/ffcli"

	"dandelionsill.org/load/commands"
)

func main() {
	root := &ffcli.Command{
		Name:        "dandelion-load",
		ShortUsage:  "dandelion-load <subcommand> [flags]",
		ShortHelp:   "Load, experiments and their judge.",
		FlagSet:     flag.NewFlagSet("dandelion-load", flag.ExitOnError),
		Subcommands: commands.All(os.Stdout),
		Exec:        func(context.Context, []string) error { return flag.ErrHelp },
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	err := root.ParseAndRun(ctx, os.Args[1:])
	switch {
	case errors.Is(err, flag.ErrHelp):
	case err != nil:
		fmt.Fprintln(os.Stderr, "dandelion-load:", err)
		os.Exit(1)
	}
}
