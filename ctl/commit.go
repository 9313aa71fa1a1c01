package ctl

import (
	"context"
	"crypto/ed25519"
	"fmt"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"
	"github.com/peterbourgon/ff/v3/ffcli"

	"dandelionsill.org/base/sleep"
	"dandelionsill.org/fold/control"
	"dandelionsill.org/manifest"
	"dandelionsill.org/platform"
	"dandelionsill.org/wire/pb"
)

// Outcomes of a commit.
const (
	outcomeAccepted    = "accepted"
	outcomeInForce     = "already in force"
	outcomeLost        = "lost the race"
	outcomeUnknown     = "unknown"
	outcomeNotAccepted = "not accepted"
)

const (
	ratePause = 250 * time.Millisecond // before an append that the log's rate refused is tried again
	pollWait  = 500 * time.Millisecond // longest wait of one read for our record
)

type signer struct {
	id  string
	key ed25519.PrivateKey
}

type commitFlags struct {
	outputFlag
	logFlags
	processFlags
	key     string
	wait    bool
	parent  uint64
	after   uint64
	timeout time.Duration
}

func (t *tool) commitCommand() *ffcli.Command {
	var f commitFlags
	set := t.flagSet("commit")
	f.outputFlag.register(set)
	f.logFlags.register(set)
	f.processFlags.register(set)
	set.StringVar(&f.key, "key", "", "file with the private key that signs (keygen writes one)")
	set.BoolVar(&f.wait, "wait", false, "wait until the revision is in force on every process")
	set.Uint64Var(&f.parent, "parent", 0, "commit only over this revision (the one that was reviewed against)")
	set.Uint64Var(&f.after, "after", 0, "only where the log has lost every revision: the highest one known")
	set.DurationVar(&f.timeout, "timeout", defaultTimeout, "longest time for the whole command")
	return t.command(set, "FILE", "sign a manifest and commit it", 1, 1, func(ctx context.Context, args []string) error {
		ctx, cancel := context.WithTimeout(ctx, f.timeout)
		defer cancel()
		return t.commit(ctx, f, args[0])
	})
}

// commitReport is the output of commit.
type commitReport struct {
	Outcome  string          `json:"outcome"`
	Reason   string          `json:"reason,omitempty"` // what standard error says
	ID       string          `json:"id,omitempty"`     // of the log record
	Number   uint64          `json:"number"`
	Parent   uint64          `json:"parent"`
	Hash     string          `json:"hash"`
	Offset   *uint64         `json:"offset,omitempty"`
	Winner   *revisionReport `json:"winner,omitempty"`
	InForce  *bool           `json:"in_force_everywhere,omitempty"`
	Behind   []processReport `json:"behind,omitempty"`
	WaitedMS int64           `json:"waited_ms,omitempty"`
}

func (t *tool) commit(ctx context.Context, f commitFlags, path string) error {
	data, sign, r, err := t.prepareCommit(f, path)
	if err != nil {
		return err
	}
	var list lister
	if f.wait { // find a mistake there before anything is committed
		if list, err = f.lister(t); err != nil {
			return err
		}
	}
	report, err := commitOnce(ctx, r, sign, data, f)
	if err == nil && f.wait {
		err = awaitEverywhere(ctx, list, report)
	}
	if err != nil {
		report.Reason = err.Error()
	}
	if printErr := t.printCommit(f.form, report); printErr != nil {
		return printErr
	}
	return err
}

func (t *tool) prepareCommit(f commitFlags, path string) ([]byte, signer, *reader, error) {
	if err := f.outputFlag.check(); err != nil {
		return nil, signer{}, nil, err
	}
	data, err := readFile(path)
	if err != nil {
		return nil, signer{}, nil, err
	}
	if _, err := manifest.Parse(path, data); err != nil {
		return nil, signer{}, nil, fail(ExitFailed, "not committed, the manifest has mistakes:\n%w", err)
	}
	sign, err := readPrivateKey(f.key)
	if err != nil {
		return nil, signer{}, nil, err
	}
	keys, err := f.keys()
	if err != nil {
		return nil, signer{}, nil, err
	}
	public := sign.key.Public().(ed25519.PublicKey)
	if known, ok := keys[sign.id]; ok && !known.Equal(public) {
		return nil, signer{}, nil, usageError("--key is not the private half of key %q in --public: every process would reject the commit", sign.id)
	}
	keys[sign.id] = public
	log, err := f.logFlags.open(t)
	if err != nil {
		return nil, signer{}, nil, err
	}
	return data, sign, newReader(log, keys), nil
}

// commitOnce appends the revision at most once and finds its outcome.
func commitOnce(ctx context.Context, r *reader, sign signer, data []byte, f commitFlags) (*commitReport, error) {
	report := &commitReport{Outcome: outcomeNotAccepted, Hash: manifest.Hash(data)}
	if _, err := r.toEnd(ctx); err != nil {
		return report, fail(ExitFailed, "not accepted: the log can't be read, so the revision to go on from is not known: %w", err)
	}
	if err := r.rejectUnknownKeys(); err != nil {
		return report, err
	}
	base, err := baseOf(r, f)
	if err != nil {
		return report, err
	}
	if head := r.state.Head(); head != nil && head.Hash == report.Hash {
		return &commitReport{
			Outcome: outcomeInForce, Number: head.Number, Parent: head.Parent, Hash: head.Hash, Offset: &head.Offset,
		}, nil
	}
	rev := manifest.Sign(sign.key, sign.id, base+1, base, data)
	id := "commit-" + uuid.Must(uuid.NewV7()).String()
	report.ID, report.Number, report.Parent = id, rev.Number, rev.Parent
	if err := appendOnce(ctx, r.log, encodeCommit(id, rev, r, f)); err != nil {
		return report, err
	}
	return report, awaitOutcome(ctx, r, rev, report)
}

// baseOf returns the number of the revision to commit over.
func baseOf(r *reader, f commitFlags) (uint64, error) {
	head := r.state.Head()
	switch {
	case f.after > 0 && (r.state.Settled() || head != nil):
		return 0, usageError("--after is only for a log that has lost every revision; this one has not")
	case f.after > 0:
		return f.after, nil
	case !r.state.Settled():
		return 0, fail(ExitFailed, "not accepted: the log has lost records, and none since tells the revision in force for sure. "+
			"A running process reappends it; if none runs, give --after with the highest revision known")
	}
	var current uint64
	if head != nil {
		current = head.Number
	}
	if f.parent > 0 && f.parent != current {
		return 0, fail(ExitRaceLost, "not accepted: revision %d is in force, not %d", current, f.parent)
	}
	return current, nil
}

func encodeCommit(id string, rev *pb.SignedRevision, r *reader, f commitFlags) []byte {
	if f.after > 0 {
		return control.EncodeRestart(id, rev, r.end)
	}
	return control.EncodeCommit(id, rev)
}

// appendOnce appends a record. It repeats only what the log has refused; a
// record whose answer is lost may stand in the log, or may yet come to, so a
// nil error means "look for it".
func appendOnce(ctx context.Context, log platform.Log, data []byte) error {
	for {
		_, err := log.Append(ctx, platform.StreamControl, data)
		switch {
		case errors.Is(err, platform.ErrLogUnavailable), errors.Is(err, platform.ErrLogRefused):
			return fail(ExitFailed, "not accepted: %w", err)
		case !errors.Is(err, platform.ErrRate):
			return nil
		}
		if !sleep.For(ctx, ratePause) {
			return fail(ExitFailed, "not accepted in time: %w", err)
		}
	}
}

// awaitOutcome reads on until the record's outcome is known. Where the record
// is not in the log, it may still be under way to it; but once another
// revision has taken its parent's place it can't be accepted any more.
func awaitOutcome(ctx context.Context, r *reader, rev *pb.SignedRevision, report *commitReport) error {
	var last error
	for ctx.Err() == nil {
		events, err := r.step(ctx, pollWait)
		if err != nil {
			last = err
			sleep.For(ctx, pollWait)
			continue
		}
		if done, err := judge(events, r.state.Head(), rev, report); done {
			return err
		}
	}
	report.Outcome = outcomeUnknown
	why := "the log does not show the record yet"
	if last != nil {
		why = last.Error()
	}
	return fail(ExitUnknown, "outcome unknown: revision %d (%s) may stand in the log or come to: %s. "+
		"Commit the same file again when the log is well: it finds the revision if it was accepted", rev.Number, short(rev.Hash), why)
}

// judge looks for the record's outcome among events; head is the newest
// revision after them.
func judge(events []control.Event, head *control.Revision, rev *pb.SignedRevision, report *commitReport) (bool, error) {
	for _, event := range events {
		switch e := event.(type) {
		case control.Accepted:
			if e.Revision.Number != rev.Number {
				continue
			}
			if e.Revision.Hash == rev.Hash { // ours, or the same manifest by another run
				report.Outcome, report.Offset = outcomeAccepted, &e.Revision.Offset
				return true, nil
			}
			report.Outcome, report.Winner = outcomeLost, reportOf(e.Revision)
			return true, fail(ExitRaceLost, "not accepted: revision %d (%s, key %s, offset %d) won the race",
				e.Revision.Number, short(e.Revision.Hash), e.Revision.Signed.KeyId, e.Revision.Offset)
		case control.Rejected:
			if e.ID == report.ID {
				report.Outcome, report.Winner = outcomeLost, reportOf(head)
				return true, fail(ExitRaceLost, "not accepted: %s", e.Reason)
			}
		}
	}
	return false, nil
}

func (t *tool) printCommit(form string, report *commitReport) error {
	if form == outputJSON {
		return t.printJSON(report)
	}
	if report.Outcome == outcomeNotAccepted {
		return nil // standard error says it
	}
	rows := [][]string{
		{"outcome", report.Outcome},
		{"revision", fmt.Sprint(report.Number)},
		{"parent", fmt.Sprint(report.Parent)},
		{"hash", report.Hash},
	}
	if report.Offset != nil {
		rows = append(rows, []string{"offset", fmt.Sprint(*report.Offset)})
	}
	if report.InForce != nil && *report.InForce {
		rows = append(rows, []string{"in force", fmt.Sprintf("everywhere, after %d ms", report.WaitedMS)})
	}
	if err := t.printTable(nil, rows); err != nil || len(report.Behind) == 0 {
		return err
	}
	return t.printProcesses(report.Behind)
}
