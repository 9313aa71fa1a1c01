// Package logscan reads the structured logs of many processes and tells what
// became of a request, a batch job or a sample, and where requests and samples
// were lost. It needs nothing but the lines: on call there are only logs.
package logscan

import (
	"bytes"
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
)

// Line is one line of a process's log. Fields that a line does not have are zero.
type Line struct {
	At      time.Time
	Process string
	Part    string // of the process: "runner", "front"
	Message string // without the prefixes of program and part
	File    string
	Number  int
	Raw     []byte // the JSON object; valid until the next line is read

	Fields
}

// Fields are those that decide something here; Raw has them all.
type Fields struct {
	ID       string   `json:"id"`
	Request  string   `json:"request"` // a request's name by its content
	Job      string   `json:"job"`
	Duty     string   `json:"duty"` // of one process at a time
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
}

// duration is a time.Duration as the logs write it ("1.5s").
type duration time.Duration

// UnmarshalJSON implements json.Unmarshaler. What is no duration is left zero: other
// lines may have a field of the same name with another meaning.
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

// timeLayout is how the processes write times.
const timeLayout = "2006-01-02T15:04:05.000Z0700"

// lineHeader is what each line has.
type lineHeader struct {
	TS      string `json:"ts"`
	Message string `json:"msg"`
}

// errNotRecord: the line is none of a process's log, but a remark of the platform.
var errNotRecord = errors.New("no record")

// parseLine reads a line: a JSON object, as a process writes it, or with a time and the
// VM's name before it, as the platform prints it.
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

// splitMessage takes the prefixes of program and part off a message.
func splitMessage(message string) (part, sentence string) {
	at := strings.LastIndex(message, ": ")
	if at < 0 {
		return "", message
	}
	prefix, sentence := message[:at], message[at+2:]
	return prefix[strings.LastIndex(prefix, " ")+1:], sentence
}
