package ctl

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"dandelionsill.org/ctl/logscan"
)

func (t *tool) evacuationsCommand() *ffcli.Command {
	set := t.flagSet("evacuations")
	asJSON := set.Bool("json", false, "print JSON")
	return t.command(set, "LOGS…", "show which failure domains were evacuated, who still runs something there and when the last had ended, out of log files, folders or - for standard input", 0, maxPaths,
		func(_ context.Context, args []string) error {
			evacuations := logscan.NewEvacuations()
			stats, err := t.scan(args, evacuations.Add)
			if err != nil {
				return err
			}
			t.reportDropped("lines", evacuations.Dropped)
			if *asJSON {
				return t.printJSON(struct {
					Evacuations []logscan.Evacuation `json:"evacuations"`
					Read        logscan.Stats        `json:"read"`
				}{evacuations.List(), stats})
			}
			return t.printEvacuations(evacuations.List())
		})
}

func (t *tool) printEvacuations(list []logscan.Evacuation) error {
	var rows, running [][]string
	for _, e := range list {
		rows = append(rows, []string{
			e.FailureDomain, clockOf(&e.Known), clockOf(&e.KnownToAll), strconv.Itoa(e.Processes), strconv.Itoa(e.Servers),
			strconv.Itoa(len(e.Running)), clockOf(e.Empty), clockOf(e.Over),
		})
		for _, p := range e.Running {
			running = append(running, []string{e.FailureDomain, p.Process, clockOf(&p.At), strconv.Itoa(p.Requests), strconv.Itoa(p.Streams), strconv.FormatBool(p.Again)})
		}
	}
	header := []string{"FAILURE DOMAIN", "KNOWN", "KNOWN TO ALL", "PROCESSES", "SERVERS", "STILL RUN THERE", "EMPTY", "OVER"}
	if err := t.printTable(header, rows); err != nil {
		return err
	}
	if len(running) == 0 {
		return nil
	}
	fmt.Fprintln(t.stdout)
	return t.printTable([]string{"FAILURE DOMAIN", "GATEWAY", "LAST TOLD", "REQUESTS", "STREAMS", "AGAIN"}, running)
}

// clockOf returns the time of day; nil: none.
func clockOf(at *time.Time) string {
	if at == nil {
		return "–"
	}
	return at.UTC().Format("15:04:05.000")
}
