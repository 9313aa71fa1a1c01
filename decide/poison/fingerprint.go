package poison

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
	"net/http"
)

// Fingerprint identifies a request by its content, as a digest in hexadecimal. A request
// ID can't do this: it differs for each attempt of a caller. The empty fingerprint
// identifies no request.
type Fingerprint string

// digestBytes is how many bytes of a digest are kept. The hash is a cryptographic one:
// with any other a caller could construct a request with the fingerprint of another one.
const digestBytes = 8

// Content holds what a request's fingerprint depends on: two requests with the same
// content are the same one to a server.
type Content struct {
	// Caller identifies the request's caller, if it is known.
	Caller string
	Method string
	Host   string
	URI    string // path and query
	Body   []byte
}

// CallerFromHeader returns the headers of an HTTP request that identify its caller. The
// other headers are left out because many of them differ between attempts.
func CallerFromHeader(h http.Header) string {
	return h.Get("Authorization") + "\n" + h.Get("Cookie")
}

// Fingerprint returns the fingerprint of the content.
func (c *Content) Fingerprint() Fingerprint {
	h := sha256.New()
	for _, field := range []string{c.Caller, c.Method, c.Host, c.URI} {
		writeField(h, []byte(field))
	}
	writeField(h, c.Body)
	return Fingerprint(hex.EncodeToString(h.Sum(nil)[:digestBytes]))
}

// digest returns a short digest of a text that may be too long for a key of the store.
func digest(text string) string {
	sum := sha256.Sum256([]byte(text))
	return hex.EncodeToString(sum[:digestBytes])
}

// writeField writes the length of a field and then the field, so that different contents
// never hash the same bytes.
func writeField(h hash.Hash, field []byte) {
	var size [8]byte
	binary.BigEndian.PutUint64(size[:], uint64(len(field)))
	_, _ = h.Write(size[:]) // a hash returns no errors
	_, _ = h.Write(field)
}
