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

// MaxBytes bounds a manifest's size. At 4,300 changes a day every process
// reads the control stream, and a record of this size (a third more in
// base64) every 20 s costs it about 17 KB/s, its whole budget for control.
const MaxBytes = 256 * kiB

// maxKeys is more than any section has. The library's time for a section goes
// with the square of its keys: 256 KiB of them took 3.7 s.
const maxKeys = 64

// kinds of sections, and whether the title goes on with a name.
var sectionKinds = []string{"fleet", "model", "service", "route", "trainer", "caller", "leaving"}

type parser struct {
	file     string
	problems Problems
	sections []*section
}

// Parse reads a manifest in its INI form (docs/MANIFEST.md) and checks it. name
// stands for the file in errors. The error is a Problems with every fault.
func Parse(name string, data []byte) (*Manifest, error) {
	p := &parser{file: name}
	p.read(data)
	if len(p.problems) > 0 {
		return nil, p.sortProblems() // what can't be read can't be checked
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

// read fills p.sections. The library does the syntax; the scan before it finds
// what the library passes over in silence (sections and keys that stand twice)
// and the line of each key.
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
		ChildSectionDelimiter:    "\x00", // no section inherits another's keys
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

// openSection reads a section's title. It returns a section even for a bad
// title, so that the keys below are not reported as homeless.
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
