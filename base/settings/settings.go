// Package settings loads a process's settings from flags, environment variables, an
// INI file and defaults, in this order of precedence. An invalid value fails the
// start with an error that names the value's source.
package settings

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"reflect"
	"runtime/debug"

	jujuerrors "github.com/juju/errors"
	"github.com/peterbourgon/ff/v3"
)

// envPrefix is the prefix of the environment variables: section.key is read from
// DANDELION_SECTION_KEY.
const envPrefix = "DANDELION"

// Source is where a value came from.
type Source string

// The sources, lowest precedence first.
const (
	FromDefault Source = "default"
	FromFile    Source = "file"
	FromEnv     Source = "env"
	FromFlag    Source = "flag"
)

// Result is what Load returns besides the filled settings.
type Result struct {
	// Done is true if Load answered --help, --check, --print-config or --version;
	// the process must then exit with 0 without starting.
	Done bool
	// File is the path of the settings file; empty: none.
	File string
	// Sources maps "section.key" to the source of the value.
	Sources map[string]Source
}

// Validator is implemented by settings structs that need checks beyond their tags.
// Load calls Validate once all fields are filled.
type Validator interface{ Validate() error }

// controlFlags holds the values of the flags that are not settings.
type controlFlags struct {
	config                string
	check, print, version bool
}

// Load fills dst, a pointer to a struct whose fields have the tags
// `ini:"section.key" default:"…" help:"…"` (and those listed at newField); nested
// structs are filled too. args is the command line without the program's name. The
// output of --help, --check, --print-config and --version goes to w.
func Load(binary string, args []string, dst any, w io.Writer) (Result, error) {
	fields, err := fieldsOf(dst)
	if err != nil {
		return Result{}, jujuerrors.Trace(err)
	}
	var m controlFlags
	set := flagSet(binary, w, fields, &m)
	file := &fileParser{fields: fields}
	err = ff.Parse(set, args,
		ff.WithEnvVarPrefix(envPrefix),
		ff.WithConfigFileVia(&m.config),
		ff.WithConfigFileParser(file.parse(&m.config)))
	if errors.Is(err, flag.ErrHelp) {
		usage(set, w)
		return Result{Done: true}, nil
	}
	if err != nil {
		return Result{}, jujuerrors.Trace(addFlagHint(err, fields))
	}
	if set.NArg() > 0 {
		return Result{}, jujuerrors.Errorf("unexpected argument %q", set.Arg(0))
	}
	if m.version {
		fmt.Fprintf(w, "%s %s\n", binary, Version())
		return Result{Done: true}, nil
	}
	if err := checkEnv(os.Environ(), set); err != nil {
		return Result{}, err
	}
	result := Result{File: m.config, Sources: sources(set, args, fields, file)}
	if err := check(dst, fields, result); err != nil {
		return result, err
	}
	return answerControlFlags(w, m, fields, result)
}

// check validates the filled settings against their tags and runs their Validate methods.
func check(dst any, fields []*field, result Result) error {
	for _, f := range fields {
		if err := f.check(); err != nil {
			return jujuerrors.Annotatef(err, "%s (from %s)", f.name(), result.describeSource(f))
		}
	}
	return jujuerrors.Trace(validate(reflect.ValueOf(dst)))
}

// validate runs the Validate methods of all structs, inner ones first. A dst with
// its own Validate therefore need not call that of the embedded Common.
func validate(ptr reflect.Value) error {
	v := ptr.Elem()
	for i := range v.NumField() {
		if v.Field(i).Kind() != reflect.Struct || !v.Type().Field(i).IsExported() {
			continue
		}
		if err := validate(v.Field(i).Addr()); err != nil {
			return err
		}
	}
	if validator, ok := ptr.Interface().(Validator); ok {
		return validator.Validate()
	}
	return nil
}

// answerControlFlags writes the output of --check or --print-config to w and sets
// Done if one of them is given.
func answerControlFlags(w io.Writer, m controlFlags, fields []*field, result Result) (Result, error) {
	switch {
	case m.print:
		result.Done = true
		return result, printConfig(w, fields, result)
	case m.check:
		result.Done = true
		_, err := fmt.Fprintln(w, "settings are valid")
		return result, err
	}
	return result, nil
}

func flagSet(binary string, w io.Writer, fields []*field, m *controlFlags) *flag.FlagSet {
	set := flag.NewFlagSet(binary, flag.ContinueOnError)
	set.SetOutput(io.Discard) // errors are returned, help is printed by usage
	set.Usage = func() {}
	set.StringVar(&m.config, "config", "", "INI file with settings")
	set.BoolVar(&m.check, "check", false, "check the settings and exit")
	set.BoolVar(&m.print, "print-config", false, "print the settings in force and where each came from, and exit")
	set.BoolVar(&m.version, "version", false, "print the version and exit")
	for _, f := range fields {
		set.Var(f, f.name(), f.help)
	}
	return set
}

func usage(set *flag.FlagSet, w io.Writer) {
	fmt.Fprintf(w, "Usage of %s:\n", set.Name())
	set.SetOutput(w)
	set.PrintDefaults()
}

// Version returns the VCS revision that the build recorded, else the main module's
// version, or "unknown" without build information.
func Version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			return s.Value
		}
	}
	return info.Main.Version
}
