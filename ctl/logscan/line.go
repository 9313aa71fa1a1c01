// Package logscan reads the structured logs of many processes. It shows the
// outcome of a request, a batch job or a sample, and why requests and samples
// failed. It uses only the log lines, because an operator on call has nothing else.
package logscan

import (
	"bytes"
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
)

// Line is one line of a process's log. Fields that are not in the line are zero.
type Line struct {
	At      time.Time
	Process string
	Part    string // the component of the process, for example "runner" or "front"
	Message string // without the prefixes of the program and the component
	File    string
	Number  int
	Raw     []byte // the JSON object; valid until the next line is read

	Fields
}

// Fields holds the log fields that this package evaluates; Line.Raw has all of them.
type Fields struct {
	ID       string   `json:"id"`
	Request  string   `json:"request"` // the request's fingerprint
	Job      string   `json:"job"`
	Duty     string   `json:"duty"` // name of a task that exactly one process has at a time
	ScoreID  string   `json:"score_id"`
	Server   string   `json:"server"`
	Model    string   `json:"model"`
	Owner    string   `json:"owner"`
	Path     string   `json:"path"`
	Service  string   `json:"service"`
	Kind     string   `json:"kind"`
	Why      string   `json:"why"`
	Error    string   `json:"error"`
	Status   int      `json:"status"`
	Items    int      `json:"items"`
	Results  int      `json:"results"`
	Waiting  int      `json:"waiting"`
	Ended    bool     `json:"ended"`
	NotRun   bool     `json:"not_run"`
	GivenUp  bool     `json:"given_up"`
	Due      duration `json:"due"`
	Took     duration `json:"took"`
	Waited   duration `json:"waited"`
	Streamed duration `json:"streamed"`
	Scored   duration `json:"scored"`

	// Of brokers of permits.
	Places        int      `json:"places"`
	InUse         int      `json:"in_use"`
	Refused       int      `json:"refused"`
	Organisations int      `json:"organisations"`
	Top           string   `json:"top"`
	OldestWait    duration `json:"oldest_wait"`
	Age           duration `json:"age"`
	Hedge         bool     `json:"hedge"`
	Region        string   `json:"region"`
	Spilled       string   `json:"spilled"`
}

// duration is a time.Duration in the format of the logs ("1.5s").
type duration time.Duration

// UnmarshalJSON implements json.Unmarshaler. A value that is not a duration is ignored,
// because other lines may have a field of the same name with another meaning.
func (d *duration) UnmarshalJSON(data []byte) error {
	text, err := strconv.Unquote(string(data))
	if err != nil {
		return nil
	}
	if parsed, err := time.ParseDuration(text); err == nil {
		*d = duration(parsed)
	}
	return nil
}

// timeLayout is the time format of the log lines.
const timeLayout = "2006-01-02T15:04:05.000Z0700"

// lineHeader holds the fields that each line has.
type lineHeader struct {
	TS      string `json:"ts"`
	Message string `json:"msg"`
}

// errNotRecord is returned for a line that no process logged, for example a message
// of the platform.
var errNotRecord = errors.New("no record")

// parseLine parses a line: a JSON object, as a process writes it, or a time, the VM's
// name and a JSON object, as the platform prints it. process is used for a line
// without a VM's name.
func parseLine(text []byte, process string) (Line, error) {
	open := bytes.IndexByte(text, '{')
	if open < 0 {
		return Line{}, errNotRecord
	}
	if before := strings.Fields(string(text[:open])); len(before) == 2 {
		if _, err := strconv.ParseFloat(before[0], 64); err != nil {
			return Line{}, errNotRecord
		}
		process = before[1]
	} else if len(before) != 0 {
		return Line{}, errNotRecord
	}
	l := Line{Process: process, Raw: bytes.TrimSpace(text[open:])}
	var header lineHeader
	if err := json.Unmarshal(l.Raw, &header); err != nil {
		return Line{}, errors.Annotate(err, "not JSON")
	}
	at, err := time.Parse(timeLayout, header.TS)
	if err != nil {
		return Line{}, errors.Annotate(err, "field ts")
	}
	l.At = at
	l.Part, l.Message = splitMessage(header.Message)
	if err := json.Unmarshal(l.Raw, &l.Fields); err != nil {
		return Line{}, errors.Annotate(err, "a field has another type")
	}
	return l, nil
}

// splitMessage separates the prefixes of the program and the component from the
// sentence, and returns the component and the sentence.
func splitMessage(message string) (part, sentence string) {
	at := strings.LastIndex(message, ": ")
	if at < 0 {
		return "", message
	}
	prefix, sentence := message[:at], message[at+2:]
	return prefix[strings.LastIndex(prefix, " ")+1:], sentence
}
