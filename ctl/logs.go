package ctl

import (
	"context"
	"fmt"
	"io"
	"os"
	"strconv"

	"github.com/juju/errors"
	"github.com/mattn/go-isatty"
	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/schollz/progressbar/v3"

	"dandelionsill.org/ctl/logscan"
)

// maxPaths is the maximum number of arguments of the commands that read logs.
const maxPaths = 10_000

// reportDropped says how many of what was read were left out for lack of room.
func (t *tool) reportDropped(what string, n int) {
	if n > 0 {
		fmt.Fprintf(t.stderr, "%d %s found no room and are left out\n", n, what)
	}
}

func (t *tool) traceCommand() *ffcli.Command {
	set := t.flagSet("trace")
	asJSON := set.Bool("json", false, "print JSON")
	return t.command(set, "ID LOGS…", "show each decision on a request, batch job, sample or duty, out of log files, folders or - for standard input", 1, maxPaths,
		func(_ context.Context, args []string) error {
			tracer := logscan.NewTracer(args[0])
			stats, err := t.scan(args[1:], tracer.Add)
			if err != nil {
				return err
			}
			t.reportDropped("lines", tracer.Dropped)
			if *asJSON {
				return t.printJSON(struct {
					ID        string             `json:"id"`
					Decisions []logscan.Decision `json:"decisions"`
					Read      logscan.Stats      `json:"read"`
				}{args[0], tracer.Decisions(), stats})
			}
			if err := tracer.Write(t.stdout); err != nil {
				return newExitError(ExitFailed, "%w in %d lines", err, stats.Lines)
			}
			return nil
		})
}

func (t *tool) lossesCommand() *ffcli.Command {
	set := t.flagSet("losses")
	asJSON := set.Bool("json", false, "print JSON, with the timeline by seconds")
	svg := set.String("svg", "", "file for a timeline of what waits, runs, is refused and lost, of owners and outages of the store")
	return t.command(set, "LOGS…", "show what failed, was late or was refused, by kind of request and cause, out of log files, folders or - for standard input", 0, maxPaths,
		func(_ context.Context, args []string) error {
			losses := logscan.NewLosses()
			stats, err := t.scan(args, losses.Add)
			if err != nil {
				return err
			}
			if *svg != "" {
				if err := losses.Timeline.Plot(*svg); err != nil {
					return errors.Trace(err)
				}
			}
			t.reportDropped("samples or rows", losses.Dropped)
			if *asJSON {
				return t.printJSON(struct {
					Losses   []logscan.Loss   `json:"losses"`
					Timeline []logscan.Second `json:"timeline"`
					Read     logscan.Stats    `json:"read"`
				}{losses.Rows(), losses.Timeline.Seconds, stats})
			}
			return t.printLosses(losses.Rows())
		})
}

func (t *tool) printLosses(rows []logscan.Loss) error {
	const clock = "15:04:05.000"
	cells := make([][]string, len(rows))
	for i, r := range rows {
		cells[i] = []string{r.RequestKind, string(r.Outcome), string(r.Cause), strconv.Itoa(r.Count), r.First.UTC().Format(clock), r.Last.UTC().Format(clock), r.Example}
	}
	return t.printTable([]string{"WHAT", "FATE", "CAUSE", "COUNT", "FIRST", "LAST", "FIRST ID"}, cells)
}

// scan calls add with each line of the logs, shows the progress on a terminal and
// prints which lines can't be parsed.
func (t *tool) scan(paths []string, add func(*logscan.Line)) (logscan.Stats, error) {
	if len(paths) == 0 {
		paths = []string{logscan.Stdin}
	}
	files, size, err := logscan.Files(paths)
	if err != nil {
		return logscan.Stats{}, newExitError(ExitUsage, "%w", err)
	}
	var progress io.Writer
	if f, ok := t.stderr.(*os.File); ok && isatty.IsTerminal(f.Fd()) {
		if size == 0 {
			size = -1 // unknown
		}
		bar := progressbar.DefaultBytes(size, "reading")
		defer func() { _ = bar.Finish() }() // an error only affects the progress bar
		progress = bar
	}
	stats, err := logscan.Read(files, os.Stdin, progress, add)
	if err != nil {
		return stats, errors.Trace(err)
	}
	for _, p := range stats.Problems {
		fmt.Fprintf(t.stderr, "%s:%d: can't be read and is left out: %s\n", p.File, p.Line, p.Error)
	}
	if unlisted := stats.Bad - len(stats.Problems); unlisted > 0 {
		fmt.Fprintf(t.stderr, "%d more lines can't be read\n", unlisted)
	}
	return stats, nil
}
