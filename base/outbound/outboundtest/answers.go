// Package outboundtest plays servers in trouble: they answer with bytes that are no sound answer.
package outboundtest

import (
	"fmt"
	"maps"
	"strings"
)

// Answer is what a sound server would answer. A reader that overlooks a fault in its head believes it.
type Answer struct {
	Status int
	Fields map[string]string // without those that frame the body
	Body   string
}

// OK returns a success with a body.
func OK(body string) Answer { return Answer{Status: 200, Body: body} }

// raw returns the bytes of the answer. start replaces the status line, framing the Content-Length line; further
// lines come after it.
func (a Answer) raw(start, framing string, lines ...string) string {
	b := &strings.Builder{}
	b.WriteString(start + "\r\n")
	for name, value := range a.Fields {
		fmt.Fprintf(b, "%s: %s\r\n", name, value)
	}
	b.WriteString(framing)
	for _, line := range lines {
		b.WriteString(line + "\r\n")
	}
	b.WriteString("\r\n")
	return b.String()
}

func (a Answer) start() string   { return fmt.Sprintf("HTTP/1.1 %d Status", a.Status) }
func (a Answer) length() string  { return fmt.Sprintf("Content-Length: %d\r\n", len(a.Body)) }
func (a Answer) chunked() string { return fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(a.Body), a.Body) }

// Sound returns the answer's own bytes.
func (a Answer) Sound() string { return a.raw(a.start(), a.length()) + a.Body }

// SoundVariants returns unusual but sound forms of the answer, by name.
func (a Answer) SoundVariants() map[string]string {
	return map[string]string{
		"interim answers":    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n" + a.Sound(),
		"no reason":          a.raw(fmt.Sprintf("HTTP/1.1 %d", a.Status), a.length()) + a.Body,
		"empty reason":       a.raw(fmt.Sprintf("HTTP/1.1 %d ", a.Status), a.length()) + a.Body,
		"HTTP/1.0":           a.raw(fmt.Sprintf("HTTP/1.0 %d OK", a.Status), a.length()) + a.Body,
		"chunks":             a.raw(a.start(), "transfer-encoding: Chunked\r\n") + a.chunked(),
		"bytes above ASCII":  a.raw(a.start(), a.length(), "X-Filler: caf\xc3\xa9\t\xe9") + a.Body,
		"empty value":        a.raw(a.start(), a.length(), "X-Filler:") + a.Body,
		"line feeds":         strings.ReplaceAll(a.raw(a.start(), a.length()), "\r\n", "\n") + a.Body,
		"blanks at a length": a.raw(a.start(), fmt.Sprintf("Content-Length: \t%d \r\n", len(a.Body))) + a.Body,
	}
}

// Malformed returns malformed forms of the answer, by name. Each ends with all bytes of a sound answer's body, so
// that nothing but the fault keeps a reader from believing it.
func (a Answer) Malformed() map[string]string {
	forms := map[string]string{
		"version 2.0":                   a.raw("HTTP/2.0 200 OK", a.length()) + a.Body,
		"version 1.9":                   a.raw("HTTP/1.9 200 OK", a.length()) + a.Body,
		"version of another protocol":   a.raw("ICY 200 OK", a.length()) + a.Body,
		"no status line":                "\r\n" + a.Sound(),
		"empty line feed":               "\n" + a.Sound(),
		"answer after an interim body":  "HTTP/1.1 103 Early Hints\r\nContent-Length: 3\r\n\r\nabc" + a.Sound(),
		"chunks of an interim answer":   "HTTP/1.1 103 Early Hints\r\nTransfer-Encoding: chunked\r\n\r\n" + a.Sound(),
		"interim name with a blank":     "HTTP/1.1 103 Early Hints\r\nLink : </x>\r\n\r\n" + a.Sound(),
		"interim control byte":          "HTTP/1.1 103 Early Hints\r\nLink: \x01\r\n\r\n" + a.Sound(),
		"interim version":               "HTTP/2.0 103 Early Hints\r\n\r\n" + a.Sound(),
		"other protocol":                "HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n" + a.Sound(),
		"status 000 around the answer":  fmt.Sprintf("HTTP/1.1 000 Status\r\nContent-Length: %d\r\n\r\n%s", len(a.Sound()), a.Sound()),
		"status 000 before the answer":  "HTTP/1.1 000 Status\r\n\r\n" + a.Sound(),
		"length of a status without":    a.raw("HTTP/1.1 204 No Content", "Content-Length: 7\r\n") + a.Body,
		"blanks before the status":      a.raw(fmt.Sprintf("HTTP/1.1  %d OK", a.Status), a.length()) + a.Body,
		"control byte in the reason":    a.raw(a.start()+"\x00", a.length()) + a.Body,
		"blank after the length's name": a.raw(a.start(), fmt.Sprintf("Content-Length : %d\r\n", len(a.Body))) + a.Body,
		"tab after the length's name":   a.raw(a.start(), fmt.Sprintf("Content-Length\t: %d\r\n", len(a.Body))) + a.Body,
		"blank after the chunks' name":  a.raw(a.start(), "Transfer-Encoding : chunked\r\n") + a.chunked(),
		"two lengths":                   a.raw(a.start(), a.length()+"Content-Length: 1\r\n") + a.Body,
		"the same length twice":         a.raw(a.start(), a.length()+a.length()) + a.Body,
		"list of lengths":               a.raw(a.start(), fmt.Sprintf("Content-Length: %d, %[1]d\r\n", len(a.Body))) + a.Body,
		"length with a sign":            a.raw(a.start(), fmt.Sprintf("Content-Length: +%d\r\n", len(a.Body))) + a.Body,
		"empty length":                  a.raw(a.start(), "Content-Length:\r\n") + a.Body,
		"length and chunks":             a.raw(a.start(), "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n") + a.chunked(),
		"unknown encoding":              a.raw(a.start(), "Transfer-Encoding: x, chunked\r\n") + a.chunked(),
		"chunks twice":                  a.raw(a.start(), "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n") + a.chunked(),
		"chunks in HTTP/1.0":            a.raw(fmt.Sprintf("HTTP/1.0 %d OK", a.Status), "Transfer-Encoding: chunked\r\n") + a.chunked(),
	}
	for _, code := range []string{"000", "001", "099", "600", "999", "+20", "-01", "20", "2000", "2x0", ""} {
		forms["status "+code] = a.raw("HTTP/1.1 "+code+" Status", a.length()) + a.Body
	}
	for name, line := range map[string]string{
		"blank in a name": "X Filler: x", "blank after a name": "X-Filler : x", "blank before a name": " X-Filler: x", "only blanks": " ",
		"control byte in a name": "X\x01Filler: x", "separator in a name": "X(Filler): x", "byte above ASCII in a name": "X-F\xc3\xbcller: x",
		"empty name": ": x", "no colon": "X-Filler", "continued value": "X-Filler: x\r\n y", "control byte in a value": "X-Filler: \x00x",
		"escape in a value": "X-Filler: \x1b[0m", "delete in a value": "X-Filler: \x7f", "carriage return in a value": "X-Filler: x\rX-Other: y",
	} {
		forms[name] = a.raw(a.start(), a.length(), line) + a.Body
	}
	return forms
}

// Some returns a few of the malformed forms, one of each kind, for tests whose cases take long.
func (a Answer) Some() map[string]string {
	forms := a.Malformed()
	kinds := map[string]bool{
		"status 000": true, "status 000 around the answer": true, "status 600": true, "blank after the length's name": true,
		"blank after the chunks' name": true, "blank in a name": true, "control byte in a value": true, "length and chunks": true,
		"interim name with a blank": true, "version 2.0": true,
	}
	maps.DeleteFunc(forms, func(name, _ string) bool { return !kinds[name] })
	return forms
}
