package ctl

import (
	"cmp"
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"

	"github.com/juju/errors"

	"dandelionsill.org/fold/control"
)

const shortHashDigits = 12 // hex digits of a hash in tables

// revisionReport describes a revision in the output of several commands.
type revisionReport struct {
	Number uint64 `json:"number"`
	Parent uint64 `json:"parent"`
	Hash   string `json:"hash"`
	KeyID  string `json:"key_id"`
	Offset uint64 `json:"offset"`
	Error  string `json:"error,omitempty"` // why this program can't parse the manifest
}

func newRevisionReport(rev *control.Revision) *revisionReport {
	if rev == nil {
		return nil
	}
	report := &revisionReport{Number: rev.Number, Parent: rev.Parent, Hash: rev.Hash, KeyID: rev.Signed.KeyId, Offset: rev.Offset}
	if rev.Err != nil {
		report.Error = rev.Err.Error()
	}
	return report
}

func shortenHash(hash string) string { return hash[:min(shortHashDigits, len(hash))] }

func (t *tool) printJSON(v any) error {
	encoder := json.NewEncoder(t.stdout)
	encoder.SetEscapeHTML(false)
	return errors.Trace(encoder.Encode(v))
}

// printTable prints aligned columns, with "-" for an empty cell; header may be nil.
func (t *tool) printTable(header []string, rows [][]string) error {
	w := tabwriter.NewWriter(t.stdout, 0, 0, 2, ' ', 0)
	if header != nil {
		fmt.Fprintln(w, strings.Join(header, "\t"))
	}
	for _, row := range rows {
		for i, cell := range row {
			row[i] = cmp.Or(cell, "-")
		}
		fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	return errors.Trace(w.Flush())
}
