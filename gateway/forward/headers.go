package forward

import (
	"net/http"
	"strings"
)

// hopByHop lists the headers that concern a single connection (RFC 9110, section
// 7.6.1).
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length",
}

// EndToEnd returns a copy of h without the headers that concern a single connection.
func EndToEnd(h http.Header) http.Header {
	out := h.Clone()
	for _, listed := range h.Values("Connection") {
		for name := range strings.SplitSeq(listed, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		out.Del(name)
	}
	return out
}

// CopyHeader copies the end-to-end headers of a server's answer into the answer to the
// caller.
func CopyHeader(to, from http.Header) {
	for name, values := range EndToEnd(from) {
		to[name] = values
	}
	if to.Get("Content-Type") == "" {
		to["Content-Type"] = nil // keeps net/http from detecting a type
	}
}
