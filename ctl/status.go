package ctl

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"dandelionsill.org/base/sleep"
	"dandelionsill.org/fold/control"
)

func (t *tool) statusCommand() *ffcli.Command {
	var (
		output    outputFlag
		log       logFlags
		processes processFlags
	)
	set := t.flagSet("status")
	output.register(set)
	log.register(set)
	processes.register(set)
	timeout := set.Duration("timeout", defaultTimeout, "longest time for the whole command")
	return t.command(set, "", "show the newest revision in the log and what each process holds", 0, 0,
		func(ctx context.Context, _ []string) error {
			if err := output.check(); err != nil {
				return err
			}
			ctx, cancel := context.WithTimeout(ctx, *timeout)
			defer cancel()
			return t.status(ctx, output.format, log, processes)
		})
}

// statusReport is the output of the command status.
type statusReport struct {
	Log       *logReport      `json:"log,omitempty"`
	LogError  string          `json:"log_error,omitempty"`
	Processes []processReport `json:"processes,omitempty"`
}

type logReport struct {
	Settled  bool              `json:"settled"` // false: lost records leave the revision in force undetermined
	Revision *revisionReport   `json:"revision"`
	Versions map[string]uint64 `json:"versions"`
	End      uint64            `json:"end"` // the next record's offset
	Skipped  uint64            `json:"skipped"`
}

// status prints all that is available: processes may answer while the log does not.
func (t *tool) status(ctx context.Context, format string, log logFlags, processes processFlags) error {
	queryProcesses := processes != (processFlags{})
	if log.url == "" && !queryProcesses {
		return usageError("--log, --processes or --vms is needed")
	}
	var report statusReport
	if log.url != "" {
		r, err := t.readLog(ctx, log)
		if code, isExit := err.(*exitError); isExit && code.code == ExitUsage {
			return err
		}
		if err != nil {
			report.LogError = err.Error()
		} else {
			report.Log = newLogReport(r)
		}
	}
	if queryProcesses {
		list, err := processes.newTargetLister(t)
		if err != nil {
			return err
		}
		targets, err := list(ctx)
		if err != nil {
			return err
		}
		number, hash := report.newestRevision()
		report.Processes = queryAll(ctx, targets, number, hash)
	}
	if err := t.printStatus(format, report); err != nil {
		return err
	}
	return report.failure()
}

func newLogReport(r *reader) *logReport {
	return &logReport{
		Settled: r.state.Settled(), Revision: newRevisionReport(r.state.Head()), Versions: r.state.Versions(),
		End: r.endOffset, Skipped: r.state.Skipped(),
	}
}

func (s *statusReport) newestRevision() (uint64, string) {
	if s.Log == nil || s.Log.Revision == nil {
		return 0, ""
	}
	return s.Log.Revision.Number, s.Log.Revision.Hash
}

func (s *statusReport) failure() error {
	if s.LogError != "" {
		return newExitError(ExitFailed, "%s", s.LogError)
	}
	var unanswered []processReport
	for _, p := range s.Processes {
		if p.Error != "" {
			unanswered = append(unanswered, p)
		}
	}
	if len(unanswered) > 0 {
		return newExitError(ExitFailed, "%d processes gave no answer: %s", len(unanswered), joinNames(unanswered))
	}
	return nil
}

func (t *tool) printStatus(format string, report statusReport) error {
	if format == outputJSON {
		return t.printJSON(report)
	}
	if report.Log != nil {
		if err := t.printTable(nil, logRows(report.Log)); err != nil {
			return err
		}
	}
	if len(report.Processes) == 0 {
		return nil
	}
	return t.printProcesses(report.Processes)
}

func logRows(l *logReport) [][]string {
	rows := [][]string{{"revision", "none"}}
	if rev := l.Revision; rev != nil {
		rows = [][]string{
			{"revision", fmt.Sprint(rev.Number)},
			{"hash", rev.Hash},
			{"key", rev.KeyID},
			{"offset", fmt.Sprint(rev.Offset)},
		}
	}
	if !l.Settled {
		rows = append(rows, []string{"settled", "no: the log has lost records, a later revision may be in force"})
	}
	for _, model := range slices.Sorted(maps.Keys(l.Versions)) {
		rows = append(rows, []string{"weights of " + model, fmt.Sprint(l.Versions[model])})
	}
	return rows
}

const maxWatchWait = 10 * time.Second // longest wait of one read

func (t *tool) watchCommand() *ffcli.Command {
	var output outputFlag
	var log logFlags
	set := t.flagSet("watch")
	output.register(set)
	log.register(set)
	timeout := set.Duration("timeout", 0, "stop after this time; 0: never")
	return t.command(set, "", "print revisions and weight versions as they come", 0, 0,
		func(ctx context.Context, _ []string) error {
			if err := output.check(); err != nil {
				return err
			}
			if *timeout > 0 {
				var cancel func()
				ctx, cancel = context.WithTimeout(ctx, *timeout)
				defer cancel()
			}
			return t.watch(ctx, output.format, log)
		})
}

// watchLine is one line of the output of the command watch.
type watchLine struct {
	Event    string          `json:"event"`
	ID       string          `json:"id,omitempty"`
	Number   uint64          `json:"number,omitempty"`
	Revision *revisionReport `json:"revision,omitempty"`
	Model    string          `json:"model,omitempty"`
	Version  uint64          `json:"version,omitempty"`
	Reason   string          `json:"reason,omitempty"`
}

// watch prints the newest revision and then every later event. If the log can't be
// read, it prints that once and keeps retrying.
func (t *tool) watch(ctx context.Context, format string, f logFlags) error {
	r, err := t.readLog(ctx, f)
	if err != nil {
		return err
	}
	if head := r.state.Head(); head != nil {
		if err := t.printEvent(format, control.Accepted{Revision: head}); err != nil {
			return err
		}
	}
	unavailable := false
	for ctx.Err() == nil {
		events, err := r.readPage(ctx, maxWatchWait)
		if err != nil && ctx.Err() == nil {
			if !unavailable {
				fmt.Fprintf(t.stderr, "%s: the log can't be read, trying on: %v\n", programName, err)
			}
			unavailable = true
			sleep.For(ctx, time.Second)
			continue
		}
		unavailable = false
		for _, event := range events {
			if err := t.printEvent(format, event); err != nil {
				return err
			}
		}
	}
	return nil
}

func (t *tool) printEvent(format string, event control.Event) error {
	line := newWatchLine(event)
	if format == outputJSON {
		return t.printJSON(line)
	}
	row := []string{line.Event}
	switch {
	case line.Revision != nil:
		row = append(row, fmt.Sprintf("revision %d", line.Revision.Number), shortenHash(line.Revision.Hash), "key "+line.Revision.KeyID)
	case line.Model != "":
		row = append(row, line.Model, fmt.Sprintf("version %d", line.Version))
	default:
		row = append(row, fmt.Sprintf("revision %d", line.Number))
	}
	if line.Reason != "" {
		row = append(row, line.Reason)
	}
	return t.printTable(nil, [][]string{row})
}

func newWatchLine(event control.Event) watchLine {
	switch e := event.(type) {
	case control.Accepted:
		return watchLine{Event: "accepted", ID: e.ID, Number: e.Revision.Number, Revision: newRevisionReport(e.Revision)}
	case control.Refreshed:
		return watchLine{Event: "refreshed", ID: e.ID, Number: e.Number}
	case control.Rejected:
		return watchLine{Event: "rejected", ID: e.ID, Number: e.Number, Reason: e.Reason}
	case control.Held:
		return watchLine{Event: "held", ID: e.ID, Number: e.Number, Reason: "the log has lost records; a reappend will settle it"}
	case control.Unreadable:
		return watchLine{Event: "unreadable", Number: e.Number, Reason: e.Err.Error()}
	case control.Version:
		return watchLine{Event: "weights", Model: e.Model, Version: e.Version}
	}
	return watchLine{Event: fmt.Sprintf("%T", event)}
}
