// Package truth is the ground truth of the stand-in engine's output. Token i
// of (prompt, seed) is one deterministic word followed by "@VERSION " of the
// weights that truly made it, so a text alone shows whether it answers the
// right request, is whole, and which versions made it.
package truth

import (
	"fmt"
	"hash/fnv"
	"math"
	"strconv"
	"strings"
)

const (
	wordLen = 4
	base36  = 36
	digits  = "0123456789abcdefghijklmnopqrstuvwxyz"

	// siblingShare is the part of the variance of the log length that
	// samples of one prompt share.
	siblingShare = 0.5

	mix0 = 0x9e3779b97f4a7c15 // splitmix64
	mix1 = 0xbf58476d1ce4e5b9
	mix2 = 0x94d049bb133111eb
)

// Span says that tokens [From, To) were made by Version.
type Span struct {
	Version uint64 `json:"version"`
	From    int    `json:"from"`
	To      int    `json:"to"`
}

func splitmix(x uint64) uint64 {
	x += mix0
	x = (x ^ (x >> 30)) * mix1
	x = (x ^ (x >> 27)) * mix2
	return x ^ (x >> 31)
}

// PromptHash returns the hash that names a prompt in truth reports.
func PromptHash(prompt string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(prompt))
	return h.Sum64()
}

// Writer makes the tokens of one (prompt, seed).
type Writer struct{ key uint64 }

// NewWriter returns the Writer of (prompt, seed).
func NewWriter(prompt string, seed uint64) Writer {
	return Writer{splitmix(PromptHash(prompt) ^ splitmix(seed))}
}

func (w Writer) word(i int) [wordLen]byte {
	x := splitmix(w.key + uint64(i))
	var word [wordLen]byte
	for k := range word {
		word[k] = digits[x%base36]
		x /= base36
	}
	return word
}

// Append appends token i, made by version, to text.
func (w Writer) Append(text []byte, i int, version uint64) []byte {
	word := w.word(i)
	text = append(text, word[:]...)
	text = append(text, '@')
	text = strconv.AppendUint(text, version, 10)
	return append(text, ' ')
}

// Check verifies that text is the beginning of the output of (prompt, seed)
// and returns the versions that truly made it and the number of tokens. A
// text is whole when tokens equals Tokens(...) for the request.
func Check(prompt string, seed uint64, text string) ([]Span, int, error) {
	w := NewWriter(prompt, seed)
	var spans []Span
	n := 0
	for rest := text; rest != ""; n++ {
		token, tail, ok := strings.Cut(rest, " ")
		if !ok {
			return spans, n, fmt.Errorf("token %d: cut short: %q", n, token)
		}
		word, v, ok := strings.Cut(token, "@")
		if !ok {
			return spans, n, fmt.Errorf("token %d: no version: %q", n, token)
		}
		if want := w.word(n); word != string(want[:]) {
			return spans, n, fmt.Errorf("token %d: %q, want %q: another request's text, a gap or a double", n, word, want[:])
		}
		version, err := strconv.ParseUint(v, 10, 64)
		if err != nil {
			return spans, n, fmt.Errorf("token %d: version %q: %w", n, v, err)
		}
		spans = extend(spans, version, n)
		rest = tail
	}
	return spans, n, nil
}

func extend(spans []Span, version uint64, i int) []Span {
	if k := len(spans) - 1; k >= 0 && spans[k].Version == version {
		spans[k].To = i + 1
		return spans
	}
	return append(spans, Span{Version: version, From: i, To: i + 1})
}

// NaturalTokens is the length at which the output of (prompt, seed) stops of
// itself: lognormal with the given mean in tokens and sigma of the logarithm.
// Half of the variance belongs to the prompt, so siblings correlate.
func NaturalTokens(prompt string, seed uint64, mean, sigma float64) int {
	p := PromptHash(prompt)
	shared := normal(p)
	own := normal(splitmix(p) ^ splitmix(seed+1))
	z := math.Sqrt(siblingShare)*shared + math.Sqrt(1-siblingShare)*own
	n := mean * math.Exp(sigma*z-sigma*sigma/2)
	return max(1, int(math.Round(n)))
}

// OutputTokens is the whole length of an answer to (prompt, seed) under maxTokens;
// 0 means no limit.
func OutputTokens(prompt string, seed uint64, mean, sigma float64, maxTokens int) int {
	n := NaturalTokens(prompt, seed, mean, sigma)
	if maxTokens > 0 {
		n = min(n, maxTokens)
	}
	return n
}

// normal maps a hash to a standard normal value (Box-Muller).
func normal(x uint64) float64 {
	const unit = 1.0 / (1 << 53)
	a := (float64(splitmix(x)>>11) + 1) * unit // in (0, 1]
	b := float64(splitmix(x^mix2)>>11) * unit
	return math.Sqrt(-2*math.Log(a)) * math.Cos(2*math.Pi*b)
}
