package calls

import (
	"net/http"
	"strings"

	"dandelionsill.org/entry/answer"
	"dandelionsill.org/entry/front"
	"dandelionsill.org/wire/pb"
)

// hopByHopHeaders are headers that belong to one connection (RFC 9110, 7.6.1).
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// strippedHeaders are headers between callers and entries. A token that went on would
// let a backend server act as the caller.
var strippedHeaders = []string{"Authorization", front.HeaderTimeout, "Content-Length", "Traceparent", "Tracestate"}

// requestHeaders returns the caller's headers as the backend server gets them.
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

// setResponseHeaders writes the backend server's headers to the caller.
func setResponseHeaders(to http.Header, from []*pb.Header) {
	received := http.Header{}
	for _, h := range from {
		received.Add(h.Name, h.Value)
	}
	kept := withoutHopByHop(received)
	kept.Del("Content-Length") // set from what came, not from what was promised
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
