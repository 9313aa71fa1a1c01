package calls

import (
	"net/http"
	"strings"

	"dandelionsill.org/entry/answer"
	"dandelionsill.org/entry/front"
	"dandelionsill.org/wire/pb"
)

// hopByHopHeaders are the headers that apply to a single connection (RFC 9110, 7.6.1).
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// strippedHeaders are headers between callers and entries, which are not forwarded. With
// a forwarded token, a backend server could act as the caller.
var strippedHeaders = []string{"Authorization", front.HeaderTimeout, "Content-Length", "Traceparent", "Tracestate"}

// requestHeaders returns the caller's headers that are forwarded to the backend server.
func requestHeaders(from http.Header) []*pb.Header {
	kept := withoutHopByHop(from)
	for _, name := range strippedHeaders {
		kept.Del(name)
	}
	var out []*pb.Header
	for name, values := range kept {
		for _, value := range values {
			out = append(out, &pb.Header{Name: name, Value: value})
		}
	}
	return out
}

// setResponseHeaders copies the backend server's headers to the response to the caller.
func setResponseHeaders(to http.Header, from []*pb.Header) {
	received := http.Header{}
	for _, h := range from {
		received.Add(h.Name, h.Value)
	}
	kept := withoutHopByHop(received)
	kept.Del("Content-Length") // set later, from the bytes received
	for _, name := range []string{answer.HeaderRequestID, answer.HeaderServer, answer.HeaderReplayed} {
		kept.Del(name)
	}
	for name, values := range kept {
		to[name] = values
	}
}

func withoutHopByHop(from http.Header) http.Header {
	kept := from.Clone()
	for _, listed := range from.Values("Connection") {
		for name := range strings.SplitSeq(listed, ",") {
			kept.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		kept.Del(name)
	}
	return kept
}
