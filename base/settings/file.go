package settings

import (
	"fmt"
	"io"
	"strings"

	"github.com/agnivade/levenshtein"
	"github.com/juju/errors"
	"gopkg.in/ini.v1"
)

// fileParser parses the INI file for ff and records which keys it contains.
type fileParser struct {
	fields []*field
	found  map[string]bool
}

// iniOptions make the library take values literally. With shadows the library keeps
// the further values of a repeated key, so that parseSection can reject the key:
// otherwise one of its values would be ignored.
var iniOptions = ini.LoadOptions{
	IgnoreInlineComment:        true,
	IgnoreContinuation:         true,
	AllowShadows:               true,
	AllowDuplicateShadowValues: true,
}

// parse returns the parser that ff calls. name points at the file's name, which is
// known only after the flags are parsed.
func (p *fileParser) parse(name *string) func(io.Reader, func(name, value string) error) error {
	return func(r io.Reader, set func(name, value string) error) error {
		data, err := io.ReadAll(r)
		if err != nil {
			return errors.Annotate(err, *name)
		}
		file, err := ini.LoadSources(iniOptions, data)
		if err != nil {
			return errors.Annotate(err, *name)
		}
		p.found = map[string]bool{}
		for _, section := range file.Sections() {
			if err := p.parseSection(*name, section, set); err != nil {
				return err
			}
		}
		return nil
	}
}

func (p *fileParser) parseSection(file string, section *ini.Section, set func(name, value string) error) error {
	if section.Name() != ini.DefaultSection && !p.hasSection(section.Name()) {
		return errors.Errorf("%s: unknown section [%s]%s", file, section.Name(), NearestHint(section.Name(), p.sections()))
	}
	for _, key := range section.Keys() {
		if section.Name() == ini.DefaultSection {
			return errors.Errorf("%s: key %q is before any section", file, key.Name())
		}
		name := section.Name() + "." + key.Name()
		if !p.has(name) {
			return errors.Errorf("%s: section [%s]: unknown key %q%s", file, section.Name(), key.Name(), NearestHint(key.Name(), p.keys(section.Name())))
		}
		if len(key.ValueWithShadows()) > 1 {
			return errors.Errorf("%s: section [%s]: key %q is given twice", file, section.Name(), key.Name())
		}
		if err := set(name, key.Value()); err != nil {
			return errors.Annotatef(err, "%s: section [%s]: key %q", file, section.Name(), key.Name())
		}
		p.found[name] = true
	}
	return nil
}

func (p *fileParser) hasSection(section string) bool {
	for _, f := range p.fields {
		if f.section == section {
			return true
		}
	}
	return false
}

func (p *fileParser) has(name string) bool {
	for _, f := range p.fields {
		if f.name() == name {
			return true
		}
	}
	return false
}

func (p *fileParser) sections() []string {
	var names []string
	for _, f := range p.fields {
		names = append(names, f.section)
	}
	return names
}

func (p *fileParser) keys(section string) []string {
	var names []string
	for _, f := range p.fields {
		if f.section == section {
			names = append(names, f.key)
		}
	}
	return names
}

// addFlagHint returns an error with a hint at the nearest flag if err is the flag
// package's "not defined" error; otherwise it returns err.
func addFlagHint(err error, fields []*field) error {
	const undefined = "flag provided but not defined: -"
	_, name, found := strings.Cut(err.Error(), undefined)
	if !found {
		return err
	}
	var names []string
	for _, f := range fields {
		names = append(names, f.name())
	}
	return errors.Errorf("unknown flag --%s%s", name, NearestHint(name, names))
}

// NearestHint returns the text of a hint at the valid name with the smallest edit
// distance to unknown, or "" if there is none. A key without its section matches
// the first valid name that has that key.
func NearestHint(unknown string, valid []string) string {
	best, distance := "", len(unknown)+1
	for _, name := range valid {
		if strings.HasSuffix(name, "."+unknown) {
			best = name
			break
		}
		if d := levenshtein.ComputeDistance(strings.ToLower(unknown), strings.ToLower(name)); d < distance {
			best, distance = name, d
		}
	}
	if best == "" {
		return ""
	}
	return fmt.Sprintf("; did you mean %q?", best)
}
