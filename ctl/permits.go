package ctl

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"dandelionsill.org/ctl/logscan"
)

func (t *tool) permitsCommand() *ffcli.Command {
	set := t.flagSet("permits")
	asJSON := set.Bool("json", false, "print JSON")
	return t.command(set, "LOGS…", "show who waits for places at services' servers and which servers are ejected, out of log files, folders or - for standard input", 0, maxPaths,
		func(_ context.Context, args []string) error {
			places := logscan.NewPlaces()
			stats, err := t.scan(args, places.Add)
			if err != nil {
				return err
			}
			t.reportDropped("lines", places.Dropped)
			if *asJSON {
				return t.printJSON(struct {
					Services []logscan.ServicePlaces `json:"services"`
					Ejected  []logscan.EjectedServer `json:"ejected"`
					Crossing []logscan.Crossing      `json:"crossing"`
					Read     logscan.Stats           `json:"read"`
				}{places.Services(), places.Ejected(), places.Crossings(), stats})
			}
			return t.printPlaces(places)
		})
}

// printCrossings shows what left its region, and why.
func (t *tool) printCrossings(crossings []logscan.Crossing) error {
	if len(crossings) == 0 {
		return nil
	}
	rows := make([][]string, len(crossings))
	for i, c := range crossings {
		rows[i] = []string{c.Service, c.Region, strconv.Itoa(c.Refused), strconv.Itoa(c.Queued), strconv.Itoa(c.Slow), strconv.Itoa(c.NoPlace)}
	}
	fmt.Fprintln(t.stdout)
	return t.printTable([]string{"SERVICE", "SENT TO REGION", "OWN REFUSED", "OWN QUEUED", "OWN SLOW", "NO PLACE THERE"}, rows)
}

func (t *tool) printPlaces(places *logscan.Places) error {
	const clock = "15:04:05.000"
	var rows [][]string
	for _, s := range places.Services() {
		rows = append(rows, []string{
			s.Service, s.Broker, s.At.UTC().Format(clock), fmt.Sprintf("%d of %d", s.InUse, s.Places), strconv.Itoa(s.Waiting), strconv.Itoa(s.MostWaiting),
			s.OldestWait.Round(time.Millisecond).String(), strconv.Itoa(s.Refused), strconv.Itoa(s.TotalRefused), s.Top,
		})
	}
	header := []string{"SERVICE", "BROKER", "LAST", "PLACES IN USE", "WAITING", "MOST", "OLDEST", "REFUSED", "TOTAL", "ORGANISATIONS WAITING/IN USE"}
	if err := t.printTable(header, rows); err != nil {
		return err
	}
	if err := t.printCrossings(places.Crossings()); err != nil {
		return err
	}
	ejected := places.Ejected()
	if len(ejected) == 0 {
		return nil
	}
	rows = rows[:0]
	for _, s := range ejected {
		rows = append(rows, []string{s.Service, s.Server, s.State, s.Why, s.Age.Round(time.Millisecond).String(), s.Broker})
	}
	fmt.Fprintln(t.stdout)
	return t.printTable([]string{"SERVICE", "SERVER", "STATE", "WHY", "FOR", "BROKER"}, rows)
}
