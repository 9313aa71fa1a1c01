package forward

import (
	"net/http"
	"strings"
)

// hopByHop headers concern one connection only (RFC 9110, section 7.6.1).
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length",
}

// EndToEnd returns a copy of a header without what concerns one connection.
func EndToEnd(h http.Header) http.Header {
	out := h.Clone()
	for _, listed := range h.Values("Connection") {
		for _, name := range strings.Split(listed, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		out.Del(name)
	}
	return out
}

// CopyHeader adds a server's end-to-end headers to an answer.
func CopyHeader(to, from http.Header) {
	for name, values := range EndToEnd(from) {
		to[name] = values
	}
	if to.Get("Content-Type") == "" {
		to["Content-Type"] = nil // keeps net/http from guessing one
	}
}
