// Command testcount reads the JSON stream of "go test -json" on standard input, prints
// the output of the failed tests and packages, and then a line with the number of tests
// that passed, failed and were skipped. It exits 1 if no test passed or if anything failed
// but tests that the file of known failures lists (KNOWN-RED.txt: one line
// "package.Test, cause, issue" for each).
//
// A package that fails for another reason than a failed test (a build error, a panic, a
// timeout) always counts as a failure, because its remaining tests did not run.
package main

import (
	"bufio"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"sort"
	"strings"
)

// event is one line of "go test -json".
type event struct {
	Action      string
	Package     string
	ImportPath  string
	Test        string
	Output      string
	Elapsed     float64
	FailedBuild string
}

const (
	// maxKnown is the largest number of known failures that the file may list.
	maxKnown = 3
	// uncountedPackage is the package whose known failures don't count towards maxKnown.
	uncountedPackage = "dandelionsill.org/crowd"
)

type counts struct{ passed, failed, skipped int }

// tally collects the results of all packages.
type tally struct {
	known   map[string]string          // package.Test -> its line in the file of known failures
	output  map[string][]string        // package or package.Test -> lines of output
	failed  map[string]bool            // package.Test, top-level tests only
	broken  map[string]string          // package -> why it failed other than by a failed test
	ended   map[string]bool            // packages with a result
	started map[string]bool            // packages that were started
	running map[string]map[string]bool // package -> tests without a result yet
	counts  counts
}

func main() {
	knownFile := flag.String("known", "KNOWN-RED.txt", "file of known failures; need not exist")
	verbose := flag.Bool("v", false, "print a line for each package")
	flag.Parse()
	known, err := readKnown(*knownFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, "testcount:", err)
		os.Exit(2)
	}
	t := &tally{
		known:   known,
		output:  map[string][]string{},
		failed:  map[string]bool{},
		broken:  map[string]string{},
		ended:   map[string]bool{},
		started: map[string]bool{},
		running: map[string]map[string]bool{},
	}
	lines := bufio.NewScanner(os.Stdin)
	lines.Buffer(make([]byte, 1<<20), 64<<20)
	for lines.Scan() {
		t.line(lines.Bytes(), *verbose)
	}
	if err := lines.Err(); err != nil {
		fmt.Fprintln(os.Stderr, "testcount:", err)
		os.Exit(2)
	}
	if !t.report() {
		os.Exit(1)
	}
}

// readKnown reads the file of known failures and returns its lines by package.Test. A
// missing file counts as empty; a malformed line, a test that is listed twice, or more than maxKnown entries outside of
// uncountedPackage are errors.
func readKnown(name string) (map[string]string, error) {
	known := map[string]string{}
	data, err := os.ReadFile(name)
	if os.IsNotExist(err) {
		return known, nil
	}
	if err != nil {
		return nil, err
	}
	counted := 0
	for _, line := range strings.Split(string(data), "\n") {
		line = strings.TrimSpace(line)
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		test, _, found := strings.Cut(line, ",")
		if !found {
			return nil, fmt.Errorf("%s: want \"test, cause, issue\", have %q", name, line)
		}
		test = strings.TrimSpace(test)
		if known[test] != "" {
			return nil, fmt.Errorf("%s: %s is listed twice", name, test)
		}
		known[test] = line
		if !strings.HasPrefix(test, uncountedPackage+".") {
			counted++
		}
	}
	if counted > maxKnown {
		return nil, fmt.Errorf("%s: %d known failures, at most %d are allowed", name, counted, maxKnown)
	}
	return known, nil
}

// line processes one line of input. A line that is not JSON is printed unchanged.
func (t *tally) line(raw []byte, verbose bool) {
	var e event
	if json.Unmarshal(raw, &e) != nil {
		fmt.Println(string(raw)) // a message of the go command itself
		return
	}
	if e.Test != "" {
		t.test(e)
		return
	}
	switch e.Action {
	case "start":
		t.started[e.Package] = true
	case "build-output":
		fmt.Print(e.Output)
	case "build-fail":
		pkg, _, _ := strings.Cut(e.ImportPath, " [") // "package [package.test]"
		t.broken[pkg] = "does not build"
	case "output":
		t.output[e.Package] = append(t.output[e.Package], e.Output)
	case "pass", "skip":
		t.ended[e.Package] = true
		if verbose && e.Action == "pass" {
			fmt.Printf("ok    %s %.1fs\n", e.Package, e.Elapsed)
		}
	case "fail":
		t.ended[e.Package] = true
		t.packageFailed(e)
	}
}

// test processes an event of a test. Only top-level tests are counted, because a failed
// subtest fails its parent.
func (t *tally) test(e event) {
	id := e.Package + "." + e.Test
	top := !strings.Contains(e.Test, "/")
	if t.running[e.Package] == nil {
		t.running[e.Package] = map[string]bool{}
	}
	switch e.Action {
	case "run":
		t.running[e.Package][e.Test] = true
	case "output":
		name, _, _ := strings.Cut(e.Test, "/")
		key := e.Package + "." + name
		t.output[key] = append(t.output[key], e.Output)
	case "pass":
		delete(t.running[e.Package], e.Test)
		if top {
			t.counts.passed++
			delete(t.output, id)
		}
	case "skip":
		delete(t.running[e.Package], e.Test)
		if top {
			t.counts.skipped++
			fmt.Print(strings.Join(t.output[id], ""))
		}
	case "fail":
		delete(t.running[e.Package], e.Test)
		if top {
			t.counts.failed++
			t.failed[id] = true
		}
	}
}

// packageFailed records a package as broken unless its failure is explained by failed
// tests alone: then no test is left without a result and the output shows no panic.
func (t *tally) packageFailed(e event) {
	if e.FailedBuild != "" {
		t.broken[e.Package] = "does not build"
		return
	}
	explained := false
	for id := range t.failed {
		explained = explained || strings.HasPrefix(id, e.Package+".Test") || strings.HasPrefix(id, e.Package+".Fuzz")
	}
	out := strings.Join(t.output[e.Package], "")
	for id, lines := range t.output {
		if strings.HasPrefix(id, e.Package+".") {
			out += strings.Join(lines, "")
		}
	}
	if !explained || len(t.running[e.Package]) > 0 || strings.Contains(out, "\npanic: ") || strings.HasPrefix(out, "panic: ") {
		t.broken[e.Package] = "ended before its tests did"
	}
}

// report prints the failures and the numbers of tests, and reports whether the run passes.
func (t *tally) report() bool {
	passes := true
	for _, id := range sorted(t.failed) {
		fmt.Printf("\n--- %s\n%s", id, strings.Join(t.output[id], ""))
		if t.known[id] == "" {
			passes = false
		}
	}
	for pkg := range t.started {
		if !t.ended[pkg] && t.broken[pkg] == "" {
			t.broken[pkg] = "gave no verdict"
		}
	}
	for _, pkg := range sorted(t.broken) {
		fmt.Printf("\n--- %s %s\n%s", pkg, t.broken[pkg], strings.Join(t.output[pkg], ""))
		t.printUnfinished(pkg)
		passes = false
	}
	fmt.Println()
	for _, id := range sorted(t.failed) {
		if line := t.known[id]; line != "" {
			fmt.Println("known failure, passed over:", line)
		} else {
			fmt.Println("failed:", id)
		}
	}
	for _, pkg := range sorted(t.broken) {
		fmt.Println("failed:", pkg, t.broken[pkg])
	}
	for _, id := range sorted(t.known) {
		if !t.failed[id] {
			fmt.Println("listed as a known failure but did not fail; take it off the list:", id)
		}
	}
	failed := t.counts.failed + len(t.broken)
	fmt.Printf("%d passed, %d failed, %d skipped\n", t.counts.passed, failed, t.counts.skipped)
	return passes && t.counts.passed > 0
}

// unfinishedLines is the maximum number of output lines that are printed for each test
// that had not ended when its package did. The first lines are enough: a crash prints its
// cause before the stacks of all goroutines.
const unfinishedLines = 80

// printUnfinished prints the output of the tests that were running when their package
// ended. The go command attributes the output of a crash to one of these tests, so this is
// the only place where the cause of the crash is shown.
func (t *tally) printUnfinished(pkg string) {
	for _, test := range sorted(t.running[pkg]) {
		lines := t.output[pkg+"."+test]
		fmt.Printf("--- %s.%s had not ended\n%s", pkg, test, strings.Join(lines[:min(len(lines), unfinishedLines)], ""))
	}
}

// sorted returns the keys of m in ascending order.
func sorted[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}
