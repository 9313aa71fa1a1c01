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

// tokenIndex maps the sha256 of a token to a name. The map's key is the first
// 8 bytes of the hash; the whole hash is then compared in constant time.
type tokenIndex map[uint64][]tokenEntry

type tokenEntry struct {
	sum  [sha256.Size]byte
	name string
}

// CallerByToken returns the caller that a bearer token belongs to.
func (m *Manifest) CallerByToken(token string) (Caller, bool) {
	index := m.callersByToken
	if index == nil {
		index = indexCallers(m.Callers)
	}
	caller, ok := m.Callers[index.find(token)]
	return caller, ok
}

// TrainerByToken returns the trainer that a bearer token belongs to.
func (m *Manifest) TrainerByToken(token string) (Trainer, bool) {
	index := m.trainersByToken
	if index == nil {
		index = indexTrainers(m.Trainers)
	}
	trainer, ok := m.Trainers[index.find(token)]
	return trainer, ok
}

// IsOperatorToken reports whether a bearer token belongs to an operator.
func (m *Manifest) IsOperatorToken(token string) bool {
	index := tokenIndex{}
	index.add(m.Fleet.OperatorSHA256, "operator")
	return index.find(token) != ""
}

// find returns the name that a token belongs to, or "".
func (x tokenIndex) find(token string) string {
	sum := sha256.Sum256([]byte(token))
	for _, entry := range x[bucket(sum)] {
		if subtle.ConstantTimeCompare(entry.sum[:], sum[:]) == 1 {
			return entry.name
		}
	}
	return ""
}

// add maps a list of token hashes, in the format of Trainer.TokenSHA256, to name.
func (x tokenIndex) add(hashes, name string) {
	for _, text := range splitHashes(hashes) {
		sum, err := hex.DecodeString(text)
		if err != nil || len(sum) != sha256.Size {
			continue // Parse has rejected it; no token matches
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

// Match returns the first route, in file order, that matches a method and a path.
// The path is escaped, as the caller sent it; a query is ignored. Prefixes match
// whole path segments: "/orders" matches "/orders" and "/orders/7", not
// "/orders-old".
//
// A path that a backend server could interpret as another path
// ("/status/../orders", "//orders", "%2e%2e", a backslash) matches no route.
// Otherwise a write that must not be repeated could match the route of a read
// that may be repeated.
func (s *Service) Match(method, path string) (Route, bool) {
	path, ok := decodeUnambiguousPath(path)
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

// covers reports whether the route's prefix matches a path.
func (r *Route) covers(path string) bool {
	rest, ok := strings.CutPrefix(path, r.Prefix)
	return ok && (rest == "" || rest[0] == '/' || strings.HasSuffix(r.Prefix, "/"))
}

// decodeUnambiguousPath returns the unescaped path without its query. It returns
// false for a path that servers could interpret in different ways.
func decodeUnambiguousPath(escaped string) (string, bool) {
	escaped, _, _ = strings.Cut(escaped, "?")
	path, err := url.PathUnescape(escaped)
	if err != nil || !strings.HasPrefix(path, "/") || strings.ContainsAny(path, "\\\x00") {
		return "", false
	}
	segments := strings.Split(path[1:], "/")
	for i, segment := range segments {
		name, _, _ := strings.Cut(segment, ";") // some servers read "..;x" as ".."
		last := i == len(segments)-1
		if name == "." || name == ".." || name == "" && !last {
			return "", false
		}
	}
	return path, true
}
