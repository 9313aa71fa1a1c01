package manifest

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/binary"
	"encoding/hex"
	"net/url"
	"slices"
	"strings"
)

// tokenIndex finds a name by the sha256 of its token. The map's key is only a
// part of the sum; the rest is compared in constant time.
type tokenIndex map[uint64][]tokenEntry

type tokenEntry struct {
	sum  [sha256.Size]byte
	name string
}

// CallerByToken finds the caller that a bearer token belongs to.
func (m *Manifest) CallerByToken(token string) (Caller, bool) {
	index := m.callersByToken
	if index == nil {
		index = indexCallers(m.Callers)
	}
	caller, ok := m.Callers[index.find(token)]
	return caller, ok
}

// TrainerByToken finds the trainer that a bearer token belongs to.
func (m *Manifest) TrainerByToken(token string) (Trainer, bool) {
	index := m.trainersByToken
	if index == nil {
		index = indexTrainers(m.Trainers)
	}
	trainer, ok := m.Trainers[index.find(token)]
	return trainer, ok
}

// IsOperatorToken tells whether a bearer token is an operator's.
func (m *Manifest) IsOperatorToken(token string) bool {
	index := tokenIndex{}
	index.add(m.Fleet.OperatorSHA256, "operator")
	return index.find(token) != ""
}

// find returns the token's owner, or "".
func (x tokenIndex) find(token string) string {
	sum := sha256.Sum256([]byte(token))
	for _, entry := range x[bucket(sum)] {
		if subtle.ConstantTimeCompare(entry.sum[:], sum[:]) == 1 {
			return entry.name
		}
	}
	return ""
}

// add takes a list of hashes as a manifest holds it.
func (x tokenIndex) add(hashes, name string) {
	for _, text := range splitHashes(hashes) {
		sum, err := hex.DecodeString(text)
		if err != nil || len(sum) != sha256.Size {
			continue // no token can match; Parse has refused it
		}
		entry := tokenEntry{[sha256.Size]byte(sum), name}
		x[bucket(entry.sum)] = append(x[bucket(entry.sum)], entry)
	}
}

func splitHashes(hashes string) []string {
	if hashes == "" {
		return nil
	}
	return strings.Split(hashes, hashSeparator)
}

func bucket(sum [sha256.Size]byte) uint64 { return binary.BigEndian.Uint64(sum[:]) }

func indexCallers(callers map[string]Caller) tokenIndex {
	index := make(tokenIndex, len(callers))
	for name, c := range callers {
		index.add(c.TokenSHA256, name)
	}
	return index
}

func indexTrainers(trainers map[string]Trainer) tokenIndex {
	index := make(tokenIndex, len(trainers))
	for name, t := range trainers {
		index.add(t.TokenSHA256, name)
	}
	return index
}

// Match finds the first route, in file order, for a method and a path as the
// caller sent it (escaped; a query is ignored). Prefixes match whole path
// segments: "/orders" matches "/orders" and "/orders/7", not "/orders-old".
//
// A path that a backend server might read as another one ("/status/../orders",
// "//orders", "%2e%2e", a backslash) matches nothing: else a write that must
// not be repeated could pass under the route of a read that may be.
func (s *Service) Match(method, path string) (Route, bool) {
	path, ok := plainPath(path)
	if !ok {
		return Route{}, false
	}
	for _, r := range s.Routes {
		if r.matches(method, path) {
			return r, true
		}
	}
	return Route{}, false
}

func (r *Route) matches(method, path string) bool {
	if len(r.Methods) > 0 && !slices.Contains(r.Methods, method) {
		return false
	}
	return r.covers(path)
}

// covers tells whether the route's prefix matches a path.
func (r *Route) covers(path string) bool {
	rest, ok := strings.CutPrefix(path, r.Prefix)
	return ok && (rest == "" || rest[0] == '/' || strings.HasSuffix(r.Prefix, "/"))
}

// plainPath decodes a path and refuses what is open to a second reading.
func plainPath(escaped string) (string, bool) {
	escaped, _, _ = strings.Cut(escaped, "?")
	path, err := url.PathUnescape(escaped)
	if err != nil || !strings.HasPrefix(path, "/") || strings.ContainsAny(path, "\\\x00") {
		return "", false
	}
	segments := strings.Split(path[1:], "/")
	for i, segment := range segments {
		name, _, _ := strings.Cut(segment, ";") // "..;x" is ".." to some servers
		last := i == len(segments)-1
		if name == "." || name == ".." || name == "" && !last {
			return "", false
		}
	}
	return path, true
}
