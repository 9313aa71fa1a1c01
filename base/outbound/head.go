package outbound

import (
	"bytes"
	"strconv"
	"strings"

	"github.com/juju/errors"
	"golang.org/x/net/http/httpguts"
)

// ErrMalformed is the error of an answer that breaks the rules of HTTP/1. Nothing in such an answer is
// believed, so the outcome of its request is unknown.
var ErrMalformed = errors.New("malformed answer")

// maxHeadBytes bounds the head of an answer with all interim answers before it.
const maxHeadBytes = 64 << 10

// Status codes, see RFC 9110, section 15.
const (
	minStatus          = 100
	switchingProtocols = 101
	minFinalStatus     = 200
	noContent          = 204
	maxStatus          = 599
)

// malformed returns an ErrMalformed error.
func malformed(format string, args ...any) error {
	return errors.Annotatef(ErrMalformed, format, args...)
}

// CheckFinalStatus returns an ErrMalformed error if status can't be that of a final answer.
func CheckFinalStatus(status int) error {
	if status < minFinalStatus || status > maxStatus {
		return malformed("status %d", status)
	}
	return nil
}

// CheckField returns an ErrMalformed error if a field's name is no token or its value holds control bytes.
func CheckField(name, value string) error {
	if !httpguts.ValidHeaderFieldName(name) {
		return malformed("field name %.80q", name)
	}
	if !httpguts.ValidHeaderFieldValue(value) {
		return malformed("value %.80q of field %s", value, name)
	}
	return nil
}

// head checks the lines of an answer's head, interim answers before it included. The zero value is the
// start of a head.
type head struct {
	line  []byte // the start of a line whose end has not been read
	bytes int    // read so far

	// Of the answer whose fields are read; status is 0 before its status line.
	status    int
	http10    bool
	chunked   bool
	hasLength bool
	length    uint64 // of the body, in bytes
}

// read checks the next bytes of the head. done reports that the head ends within them. After an error, the
// first n bytes end before the end of the line at fault.
func (h *head) read(p []byte) (n int, done bool, err error) {
	for n < len(p) {
		part, _, ended := bytes.Cut(p[n:], []byte("\n"))
		if h.bytes += len(part); h.bytes >= maxHeadBytes {
			return n, false, malformed("head of over %d bytes", maxHeadBytes)
		}
		if !ended {
			h.line = append(h.line, part...)
			return len(p), false, nil
		}
		h.bytes++
		line := strings.TrimSuffix(string(h.line)+string(part), "\r")
		h.line = h.line[:0]
		done, err := h.readLine(line)
		if err != nil {
			if h.bytes == 1 {
				// net/http repeats some requests whose answers have no first byte. It refuses an empty status line.
				n = 1
			}
			return n + len(part), false, err
		}
		if n += len(part) + 1; done {
			return n, true, nil
		}
	}
	return n, false, nil
}

// readLine checks a line without its end. done reports that it ends the head.
func (h *head) readLine(line string) (done bool, err error) {
	switch {
	case h.status == 0:
		return false, h.readStatusLine(line)
	case line != "":
		return false, h.readField(line)
	}
	if err := h.checkFraming(); err != nil {
		return false, err
	}
	if h.status >= minFinalStatus {
		return true, nil
	}
	*h = head{line: h.line, bytes: h.bytes}
	return false, nil
}

func (h *head) readStatusLine(line string) error {
	version, rest, _ := strings.Cut(line, " ")
	if version != "HTTP/1.1" && version != "HTTP/1.0" {
		return malformed("version in status line %.80q", line)
	}
	code, reason, _ := strings.Cut(rest, " ")
	status, err := strconv.ParseUint(code, 10, 16)
	if err != nil || len(code) != 3 || status < minStatus || status > maxStatus {
		return malformed("status in status line %.80q", line)
	}
	if !httpguts.ValidHeaderFieldValue(reason) {
		return malformed("reason in status line %.80q", line)
	}
	h.status, h.http10 = int(status), version == "HTTP/1.0"
	return nil
}

// readField checks a field. A continued line (RFC 9112, section 5.2) has no valid name.
func (h *head) readField(line string) error {
	name, value, found := strings.Cut(line, ":")
	if !found {
		return malformed("field %.80q", line)
	}
	if err := CheckField(name, value); err != nil {
		return err
	}
	value = strings.Trim(value, " \t")
	switch {
	case strings.EqualFold(name, "Content-Length"):
		length, err := strconv.ParseUint(value, 10, 63)
		if err != nil || h.hasLength {
			return malformed("length %.80q, another one before it: %t", value, h.hasLength)
		}
		h.hasLength, h.length = true, length
	case strings.EqualFold(name, "Transfer-Encoding"):
		if h.chunked || !strings.EqualFold(value, "chunked") {
			return malformed("transfer encoding %.80q, chunked before it: %t", value, h.chunked)
		}
		h.chunked = true
	}
	return nil
}

// checkFraming returns an error if the head leaves in doubt where the answer ends (RFC 9112, section 6.3).
func (h *head) checkFraming() error {
	hasNoBody := h.status < minFinalStatus || h.status == noContent
	switch {
	case h.status == switchingProtocols:
		return malformed("switch of protocols that no request asked for")
	case h.chunked && h.hasLength:
		return malformed("both chunks and a length")
	case h.chunked && h.http10:
		return malformed("chunks in HTTP/1.0")
	case hasNoBody && (h.chunked || h.length > 0):
		return malformed("a body with status %d", h.status)
	}
	return nil
}
