// Command dandelion-standin runs one stand-in for the platform, for tests and
// the demo only.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"net/http"
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"

	"dandelionsill.org/standin/engine"
	"dandelionsill.org/standin/hosted"
	"dandelionsill.org/standin/logsvc"
	"dandelionsill.org/standin/scorer"
	"dandelionsill.org/standin/service"
	"dandelionsill.org/standin/trainer"
	"dandelionsill.org/standin/vms"
	"dandelionsill.org/standin/web"
	"dandelionsill.org/standin/weights"
)

func main() {
	root := &ffcli.Command{
		Name:        "dandelion-standin",
		ShortUsage:  "dandelion-standin <subcommand> [flags]",
		ShortHelp:   "Stand-ins for the platform: tests and demo only.",
		FlagSet:     flag.NewFlagSet("dandelion-standin", flag.ExitOnError),
		Subcommands: commands(),
		Exec:        func(context.Context, []string) error { return flag.ErrHelp },
	}
	err := root.ParseAndRun(context.Background(), os.Args[1:])
	if err != nil && !errors.Is(err, flag.ErrHelp) {
		fmt.Fprintln(os.Stderr, "dandelion-standin:", err)
		os.Exit(1)
	}
}

func commands() []*ffcli.Command {
	var (
		engineConfig  engine.Config
		serviceConfig service.Config
		logConfig     logsvc.Config
		weightsConfig weights.Config
		vmsConfig     vms.Config
		scorerConfig  scorer.Config
	)
	return []*ffcli.Command{
		serve("engine", "A model engine.", engineConfig.AddFlags, func() (http.Handler, error) {
			engineConfig.Exit = os.Exit
			return engine.New(engineConfig), nil
		}),
		serve("service", "A plain service that counts its runs.", serviceConfig.AddFlags, func() (http.Handler, error) {
			return service.New(serviceConfig), nil
		}),
		serve("log", "The append-only log service.", logConfig.AddFlags, func() (http.Handler, error) {
			return logsvc.New(logConfig), nil
		}),
		serve("weights", "The rate-limited weight store.", weightsConfig.AddFlags, func() (http.Handler, error) {
			return weights.New(weightsConfig)
		}),
		serve("vms", "The lagging list of VMs.", vmsConfig.AddFlags, func() (http.Handler, error) {
			return vms.New(vmsConfig), nil
		}),
		serve("scorer", "A service that scores samples.", scorerConfig.AddFlags, func() (http.Handler, error) {
			return scorer.New(scorerConfig), nil
		}),
		trainer.Command(),
		hosted.Command(),
	}
}

// serve makes the subcommand of one stand-in.
func serve(name, help string, flags func(*flag.FlagSet), build func() (http.Handler, error)) *ffcli.Command {
	fs := flag.NewFlagSet(name, flag.ExitOnError)
	listen := fs.String("listen", "127.0.0.1:0", "IP:port to listen on")
	flags(fs)
	return &ffcli.Command{
		Name:       name,
		ShortUsage: "dandelion-standin " + name + " [flags]",
		ShortHelp:  help,
		FlagSet:    fs,
		Exec: func(ctx context.Context, _ []string) error {
			h, err := build()
			if err != nil {
				return err
			}
			return web.Serve(ctx, *listen, h)
		},
	}
}
