package settings

import (
	"flag"
	"fmt"
	"io"
	"os"
	"strings"
)

const redacted = "********"

// sources returns where each value came from, by "section.key"; ff does not report it.
func sources(set *flag.FlagSet, args []string, fields []*field, file *fileParser) map[string]Source {
	onCommandLine := map[string]bool{}
	for _, name := range flagsSetBy(args, set) {
		onCommandLine[name] = true
	}
	from := make(map[string]Source, len(fields))
	for _, f := range fields {
		from[f.name()] = sourceOf(f, onCommandLine, file)
	}
	return from
}

func sourceOf(f *field, onCommandLine map[string]bool, file *fileParser) Source {
	switch {
	case onCommandLine[f.name()]:
		return FromFlag
	case os.Getenv(envName(f.name())) != "":
		return FromEnv
	case file.found[f.name()]:
		return FromFile
	}
	return FromDefault
}

// envName returns the name of the environment variable that ff reads for a flag.
func envName(flagName string) string {
	name := strings.NewReplacer("-", "_", ".", "_", "/", "_").Replace(flagName)
	return envPrefix + "_" + strings.ToUpper(name)
}

// flagsSetBy returns the names of the flags that args set, by parsing args again
// with a flag set that accepts any value.
func flagsSetBy(args []string, set *flag.FlagSet) []string {
	recorder := flag.NewFlagSet(set.Name(), flag.ContinueOnError)
	recorder.SetOutput(io.Discard)
	set.VisitAll(func(f *flag.Flag) { recorder.Var(anyValue{boolean: isBool(f.Value)}, f.Name, "") })
	_ = recorder.Parse(args) // the same arguments were parsed without an error before
	var names []string
	recorder.Visit(func(f *flag.Flag) { names = append(names, f.Name) })
	return names
}

func isBool(v flag.Value) bool {
	b, ok := v.(interface{ IsBoolFlag() bool })
	return ok && b.IsBoolFlag()
}

// anyValue is a flag.Value that accepts any text and stores nothing.
type anyValue struct{ boolean bool }

// String implements flag.Value.
func (anyValue) String() string { return "" }

// Set implements flag.Value.
func (anyValue) Set(string) error { return nil }

// IsBoolFlag reports whether the flag may be given without a value.
func (v anyValue) IsBoolFlag() bool { return v.boolean }

// describeSource returns where a field's value came from, for error texts and
// --print-config.
func (r Result) describeSource(f *field) string {
	switch r.Sources[f.name()] {
	case FromFlag:
		return "flag --" + f.name()
	case FromEnv:
		return "env " + envName(f.name())
	case FromFile:
		return "file " + r.File
	}
	return "default"
}

// printConfig writes an INI file that yields the same settings, except secrets. Each
// value is preceded by a comment with its source.
func printConfig(w io.Writer, fields []*field, result Result) error {
	var b strings.Builder
	for i, section := range sectionsInOrder(fields) {
		if i > 0 {
			b.WriteByte('\n')
		}
		fmt.Fprintf(&b, "[%s]\n", section)
		for _, f := range fields {
			if f.section == section {
				printField(&b, f, result)
			}
		}
	}
	_, err := io.WriteString(w, b.String())
	return err
}

func printField(b *strings.Builder, f *field, result Result) {
	value := f.String()
	if f.secret && value != "" {
		value = redacted
	}
	fmt.Fprintf(b, "; %s\n%s = %s\n", result.describeSource(f), f.key, quote(value))
}

// quote wraps a value in triple quotes if the INI library would not read it back
// unchanged.
func quote(value string) string {
	if value == strings.TrimSpace(value) && !strings.ContainsAny(value, "\"'`\n") {
		return value
	}
	return `"""` + value + `"""`
}

func sectionsInOrder(fields []*field) []string {
	var names []string
	seen := map[string]bool{}
	for _, f := range fields {
		if !seen[f.section] {
			seen[f.section] = true
			names = append(names, f.section)
		}
	}
	return names
}
