package poison

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
	"net/http"
)

// Name names what a request asks for. Each attempt of a caller has an id of its
// own, so that ids can't tell that a request comes again; its content can. The
// empty name names nothing.
type Name string

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

// CallerOf returns what the headers of an HTTP request tell of its caller. All others
// name nothing: many of them differ from attempt to attempt.
func CallerOf(h http.Header) string {
	return h.Get("Authorization") + "\n" + h.Get("Cookie")
}

// Name returns the content's name.
func (c *Content) Name() Name {
	h := sha256.New()
	for _, field := range []string{c.Caller, c.Method, c.Host, c.URI} {
		write(h, []byte(field))
	}
	write(h, c.Body)
	return Name(hex.EncodeToString(h.Sum(nil)[:digestBytes]))
}

// digest names what may be longer than a key of the store.
func digest(text string) string {
	sum := sha256.Sum256([]byte(text))
	return hex.EncodeToString(sum[:digestBytes])
}

// write adds a field behind its length, so that no two contents run into one.
func write(h hash.Hash, field []byte) {
	var size [8]byte
	binary.BigEndian.PutUint64(size[:], uint64(len(field)))
	_, _ = h.Write(size[:]) // a hash returns no errors
	_, _ = h.Write(field)
}
