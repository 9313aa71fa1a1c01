package manifest

import (
	"fmt"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"
)

// nameForm is the syntax of every name in a manifest except names of models and
// VMs, which have dottedForm.
var (
	nameForm   = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9_-]{0,62}$`)
	dottedForm = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)
	sha256Form = regexp.MustCompile(`^[0-9a-f]{64}$`)
	methodForm = regexp.MustCompile(`^[A-Z]{1,16}$`)
	pathForm   = regexp.MustCompile(`^/[\p{L}\p{N}._~!$&()*+,;=:@/-]*$`)
)

// A list of token hashes has up to maxTokens items. Two allow the rotation of a
// token without an interruption; the third is for a rotation that starts before
// the previous one has ended.
const (
	maxTokens     = 3
	hashSeparator = ","
)

// section parses the values of one section. The methods that read a value take its
// default and its range. For an invalid value they report a problem and return
// the default, so that one pass finds every problem.
type section struct {
	parser   *parser
	title    string // as written between the brackets
	kind     string // "fleet", "model", …
	name     string // empty for fleet and leaving
	line     int
	values   map[string]string
	lines    map[string]int
	readKeys []string // keys that were requested from this section

	settings []Setting
}

// fail reports a problem at the line of key, or at the section's title if the key
// is empty or missing.
func (s *section) fail(key, nearest, format string, args ...any) {
	line := s.lines[key]
	if line == 0 {
		line = s.line
	}
	s.parser.report(Problem{
		Line: line, Section: s.title, Key: key, Nearest: nearest,
		Message: fmt.Sprintf(format, args...),
	})
}

// value returns the raw value of a key, and false if the key is missing or empty.
func (s *section) value(key string) (string, bool) {
	s.readKeys = append(s.readKeys, key)
	v, present := s.values[key]
	if present && v == "" {
		s.fail(key, "", "has no value; leave the key out for its default")
	}
	return v, v != ""
}

// require reports a problem if a key without a default is missing.
func (s *section) require(key string) {
	if _, present := s.values[key]; !present {
		s.fail(key, "", "is missing and has no default")
	}
}

func (s *section) duration(key string, defaultValue, low, high time.Duration) (out time.Duration) {
	defer recordValue(s, key, &out)
	v, ok := s.value(key)
	if !ok {
		return defaultValue
	}
	d, err := time.ParseDuration(v)
	if err != nil {
		s.fail(key, "", "%q is not a duration such as 500ms, 10s or 1h30m", v)
		return defaultValue
	}
	if d < low || d > high {
		s.fail(key, "", "%s is outside %s to %s", v, low, high)
		return defaultValue
	}
	return d
}

func (s *section) integer(key string, defaultValue, low, high int) (out int) {
	defer recordValue(s, key, &out)
	v, ok := s.value(key)
	if !ok {
		return defaultValue
	}
	n, err := strconv.Atoi(v)
	if err != nil {
		s.fail(key, "", "%q is not a whole number", v)
		return defaultValue
	}
	if n < low || n > high {
		s.fail(key, "", "%s is outside %d to %d", v, low, high)
		return defaultValue
	}
	return n
}

func (s *section) number(key string, defaultValue, low, high float64) (out float64) {
	defer recordValue(s, key, &out)
	v, ok := s.value(key)
	if !ok {
		return defaultValue
	}
	f, err := strconv.ParseFloat(v, 64)
	if err != nil {
		s.fail(key, "", "%q is not a number", v)
		return defaultValue
	}
	if !(f >= low && f <= high) { // rejects NaN too
		s.fail(key, "", "%s is outside %g to %g", v, low, high)
		return defaultValue
	}
	return f
}

// Units of sizes in bytes.
const (
	kiB = 1 << 10
	miB = 1 << 20
	giB = 1 << 30
)

// bytes reads a size in bytes: a whole number with an optional unit KiB, MiB or GiB.
func (s *section) bytes(key string, defaultValue, low, high int64) (out int64) {
	defer recordValue(s, key, &out)
	v, ok := s.value(key)
	if !ok {
		return defaultValue
	}
	digits, unit := v, int64(1)
	for suffix, factor := range map[string]int64{"KiB": kiB, "MiB": miB, "GiB": giB} {
		if rest, found := strings.CutSuffix(v, suffix); found {
			digits, unit = strings.TrimSpace(rest), factor
		}
	}
	n, err := strconv.ParseInt(digits, 10, 64)
	if err != nil {
		s.fail(key, "", "%q is not a size such as 65536, 64KiB or 1MiB", v)
		return defaultValue
	}
	if n < low/unit || n > high/unit || n*unit < low {
		s.fail(key, "", "%s is outside %d to %d bytes", v, low, high)
		return defaultValue
	}
	return n * unit
}

func (s *section) boolean(key string, defaultValue bool) bool {
	return s.oneOf(key, strconv.FormatBool(defaultValue), "true", "false") == "true"
}

func (s *section) oneOf(key, defaultValue string, choices ...string) (out string) {
	defer recordValue(s, key, &out)
	v, ok := s.value(key)
	if !ok {
		return defaultValue
	}
	if !slices.Contains(choices, v) {
		s.fail(key, nearest(v, choices), "%q is not one of %s", v, strings.Join(choices, ", "))
		return defaultValue
	}
	return v
}

// list reads a comma-separated list. Each item must match form and be unique.
func (s *section) list(key string, form *regexp.Regexp) (items []string) {
	defer func() { s.recordSetting(key, strings.Join(items, ", ")) }()
	v, ok := s.value(key)
	if !ok {
		return nil
	}
	for _, item := range strings.Split(v, ",") {
		item = strings.TrimSpace(item)
		switch {
		case !form.MatchString(item):
			s.fail(key, "", "%q is not a valid item", item)
		case slices.Contains(items, item):
			s.fail(key, "", "%q stands twice", item)
		default:
			items = append(items, item)
		}
	}
	return items
}

// path reads an absolute path without escapes, query or ambiguous segments.
func (s *section) path(key, defaultValue string) (out string) {
	defer recordValue(s, key, &out)
	v, ok := s.value(key)
	if !ok {
		return defaultValue
	}
	if _, unambiguous := decodeUnambiguousPath(v); !unambiguous || !pathForm.MatchString(v) {
		s.fail(key, "", "%q is not a plain path: it must start with / and hold letters, digits and -._~!$&()*+,;=:@/ but no escapes, query, empty or dot segments", v)
		return defaultValue
	}
	return v
}

// text reads a value without validation.
func (s *section) text(key string) (out string) {
	defer recordValue(s, key, &out)
	out, _ = s.value(key)
	return out
}

// tokenHashes reads a list of sha256 hashes of tokens. It returns them joined by
// commas, in the format that tokenIndex.add takes.
func (s *section) tokenHashes(key string) (out string) {
	defer recordValue(s, key, &out)
	v, ok := s.value(key)
	if !ok {
		return ""
	}
	hashes := strings.Split(v, ",")
	for i, hash := range hashes {
		hashes[i] = strings.TrimSpace(hash)
		if !sha256Form.MatchString(hashes[i]) {
			s.fail(key, "", "is not a sha256 in 64 lower-case hex digits, or up to %d with commas", maxTokens)
			return ""
		}
		if slices.Contains(hashes[:i], hashes[i]) {
			s.fail(key, "", "holds a sha256 twice")
			return ""
		}
	}
	if len(hashes) > maxTokens {
		s.fail(key, "", "holds %d sha256, more than %d", len(hashes), maxTokens)
		return ""
	}
	return strings.Join(hashes, hashSeparator)
}

// recordSetting adds a key with its effective value to the settings.
func (s *section) recordSetting(key, value string) {
	s.settings = append(s.settings, Setting{Section: s.title, Key: key, Value: value})
}

// recordValue records the value that a reading method returns; it is deferred, so
// that it sees the result.
func recordValue[T any](s *section, key string, value *T) { s.recordSetting(key, fmt.Sprint(*value)) }

// reportUnknownKeys reports every key that no decoder requested.
func (s *section) reportUnknownKeys() {
	for key := range s.values {
		if !slices.Contains(s.readKeys, key) {
			s.fail(key, nearest(key, s.readKeys), "is not a key of this section")
		}
	}
}
