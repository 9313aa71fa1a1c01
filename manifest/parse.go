package manifest

import (
	"bytes"
	"cmp"
	"fmt"
	"regexp"
	"slices"
	"strings"
	"unicode/utf8"

	"gopkg.in/ini.v1"
)

// MaxBytes is the largest size of a manifest in bytes. Every process reads the
// control stream. With 4,300 changes a day, a record of this size (a third larger
// in base64) every 20 s takes about 17 KB/s, which is the whole budget of a
// process for control traffic.
const MaxBytes = 256 * kiB

// maxKeys is the largest number of keys in a section; no valid section has so
// many. The INI library's time grows with the square of a section's keys: 256 KiB
// of keys took 3.7 s.
const maxKeys = 64

// sectionKinds are the valid kinds of sections.
var sectionKinds = []string{"fleet", "model", "service", "route", "trainer", "caller", "leaving"}

// parser collects the sections and the problems of one file.
type parser struct {
	file     string
	problems Problems
	sections []*section
}

// Parse parses and validates a manifest in INI syntax (docs/MANIFEST.md). name is
// the file name in errors. The error is a Problems value with every problem found.
func Parse(name string, data []byte) (*Manifest, error) {
	p := &parser{file: name}
	p.read(data)
	if len(p.problems) > 0 {
		return nil, p.sortProblems() // the sections are incomplete, so further checks would mislead
	}
	m := p.decode()
	for _, s := range p.sections {
		s.reportUnknownKeys()
	}
	if len(p.problems) > 0 {
		return nil, p.sortProblems()
	}
	for _, s := range p.sections {
		m.settings = append(m.settings, s.settings...)
	}
	m.callersByToken = indexCallers(m.Callers)
	m.trainersByToken = indexTrainers(m.Trainers)
	return m, nil
}

func (p *parser) report(problem Problem) {
	problem.File = p.file
	p.problems = append(p.problems, problem)
}

func (p *parser) sortProblems() Problems {
	slices.SortStableFunc(p.problems, func(a, b Problem) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Key, b.Key), cmp.Compare(a.Message, b.Message))
	})
	return p.problems
}

// read fills p.sections. The INI library parses the values. The scan before it
// finds the line of each key, and duplicate sections and keys, which the library
// accepts without an error.
func (p *parser) read(data []byte) {
	if len(data) > MaxBytes {
		p.report(Problem{Message: fmt.Sprintf("%d bytes, more than %d", len(data), MaxBytes)})
		return
	}
	if !utf8.Valid(data) || bytes.IndexByte(data, 0) >= 0 {
		p.report(Problem{Message: "is not UTF-8 text"})
		return
	}
	data = bytes.TrimPrefix(data, []byte("\ufeff"))
	p.scan(data)
	if len(p.problems) > 0 {
		return
	}
	file, err := ini.LoadSources(ini.LoadOptions{
		IgnoreContinuation:       true,
		SpaceBeforeInlineComment: true,
		KeyValueDelimiters:       "=",
		ChildSectionDelimiter:    "\x00", // disables inheritance of keys between sections
	}, data)
	if err != nil {
		p.report(Problem{Message: err.Error()})
		return
	}
	for _, s := range p.sections {
		for _, key := range file.Section(s.title).Keys() {
			s.values[key.Name()] = key.Value()
		}
	}
}

// scan finds the sections and the lines of their keys.
func (p *parser) scan(data []byte) {
	titles := map[string]int{}
	var current *section
	for i, text := range strings.Split(string(data), "\n") {
		text = strings.TrimSpace(text)
		line := i + 1
		switch {
		case text == "" || text[0] == '#' || text[0] == ';':
		case text[0] == '[':
			current = p.openSection(text, line, titles)
		case current == nil:
			p.report(Problem{Line: line, Message: "a key stands before the first section"})
		default:
			current.scanKey(text, line)
		}
	}
}

// openSection parses the line of a section's title. It returns a section even for
// an invalid title, so that the keys below it are not reported as keys outside a
// section.
func (p *parser) openSection(text string, line int, titles map[string]int) *section {
	title, rest, closed := strings.Cut(text[1:], "]")
	s := &section{parser: p, title: title, line: line, values: map[string]string{}, lines: map[string]int{}}
	rest = strings.TrimSpace(rest)
	if !closed || rest != "" && rest[0] != '#' && rest[0] != ';' || strings.Contains(rest, "]") {
		s.fail("", "", "a section's line must be [TITLE], with at most a comment (without ]) behind it")
		return s
	}
	if first, ok := titles[title]; ok {
		s.fail("", "", "the section stands already on line %d", first)
		return s
	}
	titles[title] = line
	s.parseTitle()
	p.sections = append(p.sections, s)
	return s
}

// parseTitle sets the kind and name from the title and reports an invalid title.
func (s *section) parseTitle() {
	kind, name, hasName := strings.Cut(s.title, " ")
	s.kind, s.name = kind, name
	form := nameForm
	switch kind {
	case "fleet", "leaving":
		if hasName {
			s.fail("", "", "the title is just [%s]", kind)
		}
		return
	case "model":
		form = dottedForm
	case "route":
		s.checkRouteTitle()
		return
	case "service", "trainer", "caller":
	default:
		s.fail("", nearest(kind, sectionKinds), "there is no such kind of section")
		return
	}
	s.checkName(form, name)
}

func (s *section) checkName(form *regexp.Regexp, name string) {
	if !form.MatchString(name) {
		s.fail("", "", "the title is [%s NAME]; a name has up to 63 letters, digits, - and _", s.kind)
	}
}

func (s *section) checkRouteTitle() {
	service, route, ok := strings.Cut(s.name, ".")
	if !ok || !nameForm.MatchString(service) || !nameForm.MatchString(route) {
		s.fail("", "", "the title is [route SERVICE.NAME]")
	}
}

// scanKey records the line of a key and reports syntax that is not allowed.
func (s *section) scanKey(text string, line int) {
	key, value, ok := strings.Cut(text, "=")
	key, value = strings.TrimSpace(key), strings.TrimSpace(value)
	switch {
	case !ok || key == "" || key == "-" || strings.ContainsAny(key, "\"'`"):
		s.parser.report(Problem{Line: line, Section: s.title, Message: fmt.Sprintf("%q is not KEY = VALUE", text)})
	case strings.HasPrefix(value, "`") || strings.HasPrefix(value, `"""`):
		s.lines[key] = line
		s.fail(key, "", "values of several lines are not allowed")
	case s.lines[key] > 0:
		s.fail(key, "", "stands twice; again on line %d", line)
	default:
		s.lines[key] = line
		if len(s.lines) == maxKeys+1 {
			s.fail(key, "", "the section has more than %d keys", maxKeys)
		}
	}
}
