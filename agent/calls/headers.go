package calls

import (
	"net/http"
	"net/textproto"
	"strings"

	"dandelionsill.org/wire/pb"
)

// hopByHop lists the headers that apply to a single connection (RFC 9110, 7.6.1).
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// requestHeader returns the headers for the backend server: the caller's without
// those of the connection, the request id and the idempotency key.
func requestHeader(open *pb.CallOpen) http.Header {
	h := make(http.Header, len(open.Headers)+3)
	for _, field := range open.Headers {
		h.Add(field.Name, field.Value)
	}
	deleteHopByHop(h)
	h.Del("Content-Length")
	h.Del("Host")
	if _, ok := h["User-Agent"]; !ok {
		h["User-Agent"] = nil // otherwise net/http would send its own
	}
	setIfNotEmpty(h, "X-Request-Id", open.RequestId)
	setIfNotEmpty(h, "Idempotency-Key", open.IdempotencyKey)
	return h
}

// setIfNotEmpty sets a header unless value is empty.
func setIfNotEmpty(h http.Header, name, value string) {
	if value != "" {
		h.Set(name, value)
	}
}

// withoutHopByHop returns a copy of h without hop-by-hop headers.
func withoutHopByHop(h http.Header) http.Header {
	h = h.Clone()
	deleteHopByHop(h)
	return h
}

// deleteHopByHop removes the hop-by-hop headers and those that Connection names.
func deleteHopByHop(h http.Header) {
	for _, list := range h["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			h.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHop {
		h.Del(name)
	}
}

// encodeHeaders returns the headers as protobuf messages.
func encodeHeaders(h http.Header) []*pb.Header {
	out := make([]*pb.Header, 0, len(h))
	for name, values := range h {
		for _, v := range values {
			out = append(out, &pb.Header{Name: name, Value: v})
		}
	}
	return out
}
