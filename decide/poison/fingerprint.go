package poison

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
	"net/http"
)

// Fingerprint names what a request asks for. Each attempt of a caller has an id of its
// own, so that ids can't tell that a request comes again; its content can. The
// empty name names nothing.
type Fingerprint string

// digestBytes of a digest are kept. It is a cryptographic one: with any other a caller
// could make a request that gets another one's name.
const digestBytes = 8

// Content is what makes two requests the same one to a server.
type Content struct {
	// Caller is whose request it is, where that is known.
	Caller string
	Method string
	Host   string
	URI    string // path and query
	Body   []byte
}

// CallerFromHeader returns what the headers of an HTTP request tell of its caller. All others
// name nothing: many of them differ from attempt to attempt.
func CallerFromHeader(h http.Header) string {
	return h.Get("Authorization") + "\n" + h.Get("Cookie")
}

// Fingerprint returns the content's name.
func (c *Content) Fingerprint() Fingerprint {
	h := sha256.New()
	for _, field := range []string{c.Caller, c.Method, c.Host, c.URI} {
		writeField(h, []byte(field))
	}
	writeField(h, c.Body)
	return Fingerprint(hex.EncodeToString(h.Sum(nil)[:digestBytes]))
}

// digest names what may be longer than a key of the store.
func digest(text string) string {
	sum := sha256.Sum256([]byte(text))
	return hex.EncodeToString(sum[:digestBytes])
}

// writeField adds a field behind its length, so that no two contents run into one.
func writeField(h hash.Hash, field []byte) {
	var size [8]byte
	binary.BigEndian.PutUint64(size[:], uint64(len(field)))
	_, _ = h.Write(size[:]) // a hash returns no errors
	_, _ = h.Write(field)
}
