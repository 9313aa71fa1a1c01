package ctl

import (
	"context"
	"fmt"

	"github.com/juju/errors"
	"github.com/peterbourgon/ff/v3/ffcli"

	"dandelionsill.org/manifest"
)

func (t *tool) checkCommand() *ffcli.Command {
	var output outputFlag
	set := t.flagSet("check")
	output.register(set)
	effective := set.Bool("effective", false, "print every setting, defaults too")
	return t.command(set, "FILE", "check a manifest", 1, 1, func(_ context.Context, args []string) error {
		if err := output.check(); err != nil {
			return err
		}
		data, err := readFile(args[0])
		if err != nil {
			return err
		}
		return t.check(output.format, *effective, args[0], data)
	})
}

// checkReport is the output of the command check.
type checkReport struct {
	OK       bool               `json:"ok"`
	Hash     string             `json:"hash"`
	Problems manifest.Problems  `json:"problems,omitempty"`
	Settings []manifest.Setting `json:"settings,omitempty"`
}

func (t *tool) check(format string, effective bool, name string, data []byte) error {
	report := checkReport{Hash: manifest.Hash(data)}
	m, err := manifest.Parse(name, data)
	if errors.As(err, &report.Problems) {
		if format == outputJSON {
			if err := t.printJSON(report); err != nil {
				return err
			}
		}
		return newExitError(ExitFailed, "mistakes: %d\n%w", len(report.Problems), err)
	}
	report.OK = true
	if effective {
		report.Settings = m.Settings()
	}
	if format == outputJSON {
		return t.printJSON(report)
	}
	if effective {
		rows := make([][]string, len(report.Settings))
		for i, s := range report.Settings {
			rows[i] = []string{"[" + s.Section + "]", s.Key, s.Value}
		}
		return t.printTable([]string{"SECTION", "KEY", "VALUE"}, rows)
	}
	return t.printTable(nil, [][]string{{"ok", name}, {"hash", report.Hash}})
}

func (t *tool) diffCommand() *ffcli.Command {
	var output outputFlag
	var log logFlags
	set := t.flagSet("diff")
	output.register(set)
	log.register(set)
	timeout := set.Duration("timeout", defaultTimeout, "longest time to read the log")
	return t.command(set, "[A] B", "show what B changes against A, or against the newest revision in the log", 1, 2,
		func(ctx context.Context, args []string) error {
			if err := output.check(); err != nil {
				return err
			}
			ctx, cancel := context.WithTimeout(ctx, *timeout)
			defer cancel()
			changed, err := parseFile(args[len(args)-1])
			if err != nil {
				return err
			}
			base, err := t.diffBase(ctx, log, args)
			if err != nil {
				return err
			}
			return t.printChanges(output.format, compareSettings(base, changed.Settings()))
		})
}

func parseFile(path string) (*manifest.Manifest, error) {
	data, err := readFile(path)
	if err != nil {
		return nil, err
	}
	m, err := manifest.Parse(path, data)
	return m, errors.Trace(err)
}

func (t *tool) diffBase(ctx context.Context, f logFlags, args []string) ([]manifest.Setting, error) {
	if len(args) == 2 {
		m, err := parseFile(args[0])
		if err != nil {
			return nil, err
		}
		return m.Settings(), nil
	}
	r, err := t.readLog(ctx, f)
	if err != nil {
		return nil, err
	}
	switch head := r.state.Head(); {
	case head == nil:
		return nil, nil
	case head.Err != nil:
		return nil, errors.Annotatef(head.Err, "revision %d can't be read by this program", head.Number)
	default:
		return head.Manifest.Settings(), nil
	}
}

// readLog returns a reader that has applied the whole control stream, for commands
// that don't commit.
func (t *tool) readLog(ctx context.Context, f logFlags) (*reader, error) {
	keys, err := f.requireKeys()
	if err != nil {
		return nil, err
	}
	log, err := f.open(t)
	if err != nil {
		return nil, err
	}
	r := newReader(log, keys)
	if _, err := r.readToEnd(ctx); err != nil {
		return nil, errors.Annotate(err, "the log can't be read")
	}
	return r, r.rejectUnknownKeys()
}

// change is one setting that differs. An empty Before or After means that the
// setting is empty or does not exist there.
type change struct {
	Section string `json:"section"`
	Key     string `json:"key"`
	Before  string `json:"before"`
	After   string `json:"after"`
}

// compareSettings returns the changes from a to b. It compares effective values, so
// that a changed default is listed too. The changes are in b's order, followed by the
// settings that only a has.
func compareSettings(a, b []manifest.Setting) []change {
	type settingKey struct{ section, key string }
	before := make(map[settingKey]string, len(a))
	for _, s := range a {
		before[settingKey{s.Section, s.Key}] = s.Value
	}
	var list []change
	for _, s := range b {
		at := settingKey{s.Section, s.Key}
		old, existed := before[at]
		if !existed || old != s.Value {
			list = append(list, change{s.Section, s.Key, old, s.Value})
		}
		delete(before, at)
	}
	for _, s := range a {
		if _, removed := before[settingKey{s.Section, s.Key}]; removed {
			list = append(list, change{s.Section, s.Key, s.Value, ""})
		}
	}
	return list
}

func (t *tool) printChanges(format string, list []change) error {
	if format == outputJSON {
		return t.printJSON(struct {
			Changes []change `json:"changes"`
		}{append([]change{}, list...)})
	}
	if len(list) == 0 {
		_, err := fmt.Fprintln(t.stdout, "no changes")
		return errors.Trace(err)
	}
	rows := make([][]string, len(list))
	for i, c := range list {
		rows[i] = []string{"[" + c.Section + "]", c.Key, c.Before, "→", c.After}
	}
	return t.printTable([]string{"SECTION", "KEY", "BEFORE", "", "AFTER"}, rows)
}
