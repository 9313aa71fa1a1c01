// Package label builds the version label of one stream of tokens from what the
// engine says of each chunk. It never guesses: a chunk that doesn't fit makes
// the label unprovable for good, and the caller discards the sample.
package label

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"
)

// Reasons why a label can't be proved.
var (
	ErrNoVersion        = errors.New("label: chunk names no version")
	ErrEngineRestarted  = errors.New("label: engine restarted under the stream")
	ErrVersionDecreased = errors.New("label: version went backwards")
	ErrTokenCount       = errors.New("label: token count does not fit")
	ErrInvalidSpans     = errors.New("label: earlier spans do not fit together")
)

// RequestHash names what a sample was asked for: two samples whose hashes are
// equal may stand for each other. The prompt alone is not enough: a trainer that
// reposts a step with another seed or length would get answers to the old one.
func RequestHash(prompt string, seed uint64, maxTokens uint32) string {
	sum := sha256.New()
	var header [12]byte // of fixed length, so that no prompt can imitate it
	binary.BigEndian.PutUint64(header[:], seed)
	binary.BigEndian.PutUint32(header[8:], maxTokens)
	sum.Write(header[:])
	sum.Write([]byte(prompt))
	return hex.EncodeToString(sum.Sum(nil))
}

// Span says that tokens [From, To) were made by Version.
type Span struct {
	Version  uint64
	From, To uint32
}

// Builder collects the label of one stream. The zero value is not ready; use
// New. It belongs to one goroutine.
type Builder struct {
	boot      string
	maxTokens uint32
	spans     []Span
	err       error
}

// New starts a label. boot is the engine start that the stream must stay on;
// maxTokens bounds the whole sample, earlier spans included. earlier are the
// proved spans of a resumed sample (nil for a new one).
func New(boot string, maxTokens uint32, earlier []Span) *Builder {
	b := &Builder{boot: boot, maxTokens: maxTokens}
	for _, s := range earlier {
		if s.From != b.Tokens() || s.To <= s.From || s.Version == 0 || s.Version < b.Version() {
			b.err = ErrInvalidSpans
			return b
		}
		b.spans = append(b.spans, s)
	}
	if b.Tokens() > maxTokens {
		b.err = ErrTokenCount
	}
	return b
}

// ContinueOnBoot tells that the stream goes on in a new engine stream on boot. What
// was proved before stays.
func (b *Builder) ContinueOnBoot(boot string) { b.boot = boot }

// Add takes one chunk. After an error every further call returns it again.
func (b *Builder) Add(version uint64, boot string, tokens int, text string) error {
	if b.err == nil {
		b.err = b.checkChunk(version, boot, tokens, text)
	}
	if b.err != nil || tokens == 0 {
		return b.err
	}
	from := b.Tokens()
	to := from + uint32(tokens)
	if last := len(b.spans) - 1; last >= 0 && b.spans[last].Version == version {
		b.spans[last].To = to
		return nil
	}
	b.spans = append(b.spans, Span{Version: version, From: from, To: to})
	return nil
}

func (b *Builder) checkChunk(version uint64, boot string, tokens int, text string) error {
	if boot != b.boot {
		return fmt.Errorf("%w: %q, was %q", ErrEngineRestarted, boot, b.boot)
	}
	if tokens < 0 || (tokens == 0 && text != "") {
		return fmt.Errorf("%w: %d tokens with %d bytes of text", ErrTokenCount, tokens, len(text))
	}
	if tokens == 0 {
		return nil // an empty closing chunk made nothing that needs a label
	}
	if version == 0 {
		return ErrNoVersion
	}
	if version < b.Version() {
		return fmt.Errorf("%w: %d after %d", ErrVersionDecreased, version, b.Version())
	}
	if uint64(b.Tokens())+uint64(tokens) > uint64(b.maxTokens) {
		return fmt.Errorf("%w: more than %d", ErrTokenCount, b.maxTokens)
	}
	return nil
}

// Err returns why the label can't be proved, or nil.
func (b *Builder) Err() error { return b.err }

// Spans returns the label so far. The slice is the builder's own.
func (b *Builder) Spans() []Span { return b.spans }

// Tokens returns how many tokens the label covers.
func (b *Builder) Tokens() uint32 {
	if len(b.spans) == 0 {
		return 0
	}
	return b.spans[len(b.spans)-1].To
}

// Version returns the version of the newest token, 0 before the first.
func (b *Builder) Version() uint64 {
	if len(b.spans) == 0 {
		return 0
	}
	return b.spans[len(b.spans)-1].Version
}

// Oldest returns the version of the first token, 0 before it.
func (b *Builder) Oldest() uint64 {
	if len(b.spans) == 0 {
		return 0
	}
	return b.spans[0].Version
}
