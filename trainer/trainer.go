// Package trainer is the client library of a trainer: it posts a step of
// sample groups to an entry, pulls whole groups, and hands each one on exactly
// once, through entries that die, answers that are lost and old owners that
// wake up.
//
// # The protocol, for clients in other languages
//
// All requests carry "Authorization: Bearer TOKEN". Errors are JSON,
// {"error":{"kind","message","not_run","retry_after_ms"}}, with Retry-After.
//
//  1. POST /v1/steps {"step","attempt","newest_version","groups":[{"id",
//     "prompt","samples","max_tokens","seed","expected_tokens"}],"have":[ids]}
//     asks an entry to own the step. Sample i of a group is generated with
//     seed+i. expected_tokens is an optional hint. "have" names the groups
//     that the trainer holds; they are not made again. The answer is
//     {"epoch":{"attempt","claim"},"step","groups"}, groups being how many
//     will come. The same attempt may be posted again to the same entry.
//  2. GET /v1/steps/{step}/groups?attempt=&cursor=&wait_ms= pulls. Begin with
//     cursor 0; go on with the cursor of the last answer whose groups you
//     hold: asking with a cursor acknowledges, and frees, all before it. An
//     answer that was lost is asked for again with the same cursor. "done" is
//     true with the last group.
//  3. DELETE /v1/steps/{step}?attempt= frees the step.
//  4. POST /v1/versions {"version"} tells that newer weights stand in the
//     weight store. The order matters: first the store, then the word.
//
// What the trainer holds is the only durable state of a step, so it must:
//
//   - raise the attempt, by one or more, whenever it turns to another entry or
//     comes back after a restart, with "have" naming what it kept;
//   - take answers only of its current attempt, and never of a smaller claim
//     than it saw for it: anything else comes from an owner of the past;
//   - take each group id once, only if it asked for it, and only whole, with
//     each index from 0 to samples-1 exactly once.
//
// On kind "superseded" or "not_found" it posts with a greater attempt. On
// "leaving" it does so at another entry. Other errors with a retry advice are
// repeated after it. "bad_request", "unauthenticated" and "forbidden" are
// final.
package trainer

import (
	"context"
	"net/http"
	"time"

	"github.com/juju/errors"
)

// Defaults of Config.
const (
	defaultWait       = 10 * time.Second
	defaultTimeout    = 5 * time.Second
	defaultTries      = 3
	defaultMinBackoff = 50 * time.Millisecond
	defaultMaxBackoff = 5 * time.Second
)

// Config of a Client. Zero fields but Entries and Token take defaults.
type Config struct {
	// Entries are the base URLs of the entries, "http://IP:port".
	Entries []string
	// Token is the trainer's bearer token.
	Token string
	// MaxWait is how long an entry may hold a pull that has nothing to tell.
	MaxWait time.Duration
	// Timeout bounds a request, beyond Wait for a pull. An entry that exceeds
	// it Tries times in a row is left for another.
	Timeout time.Duration
	// MaxAttempts at one entry before the client turns to the next.
	MaxAttempts int
	// MinBackoff and MaxBackoff bound the pause between tries.
	MinBackoff, MaxBackoff time.Duration
	HTTP                   *http.Client
}

// Client runs steps. It is safe for concurrent use by several steps.
type Client struct {
	cfg  Config
	turn *turns
}

// New returns a client.
func New(cfg Config) (*Client, error) {
	if len(cfg.Entries) == 0 {
		return nil, errors.NotValidf("config without entries")
	}
	if cfg.MaxWait == 0 {
		cfg.MaxWait = defaultWait
	}
	if cfg.Timeout == 0 {
		cfg.Timeout = defaultTimeout
	}
	if cfg.MaxAttempts == 0 {
		cfg.MaxAttempts = defaultTries
	}
	if cfg.MinBackoff == 0 {
		cfg.MinBackoff = defaultMinBackoff
	}
	if cfg.MaxBackoff == 0 {
		cfg.MaxBackoff = defaultMaxBackoff
	}
	if cfg.HTTP == nil {
		cfg.HTTP = &http.Client{}
	}
	return &Client{cfg: cfg, turn: &turns{entries: cfg.Entries}}, nil
}

// GroupSpec is one group that is asked for.
type GroupSpec struct {
	ID             string `json:"id"`
	Prompt         string `json:"prompt"`
	Samples        int    `json:"samples"`
	MaxTokens      int    `json:"max_tokens"`
	Seed           uint64 `json:"seed"`
	ExpectedTokens int    `json:"expected_tokens,omitempty"`
}

// Step is what a trainer asks for.
type Step struct {
	ID uint64
	// Attempt to begin with; 0: one. After the trainer's own restart it must
	// be greater than any that the step was posted with before.
	Attempt uint64
	// NewestVersion is the trainer's newest weight version.
	NewestVersion uint64
	Groups        []GroupSpec
	// Have names the groups that the trainer holds already.
	Have []string
}

// Span is a label: tokens [From, To) were made by weight version Version.
type Span struct {
	Version uint64 `json:"version"`
	From    uint32 `json:"from"`
	To      uint32 `json:"to"`
}

// Sample is one generated sample. Score is nil where the manifest names no
// scorer.
type Sample struct {
	Index  uint32   `json:"index"`
	Text   string   `json:"text"`
	Tokens uint32   `json:"tokens"`
	Spans  []Span   `json:"spans"`
	Score  *float64 `json:"score,omitempty"`
}

// Group is one whole group.
type Group struct {
	ID      string   `json:"id"`
	Samples []Sample `json:"samples"`
}

// Epoch names an owner of a step.
type Epoch struct {
	Attempt uint64 `json:"attempt"`
	Claim   uint64 `json:"claim"`
}

// Publish tells the entries that a newer weight version stands in the store.
// It returns once an entry took it.
func (c *Client) Publish(ctx context.Context, version uint64) error {
	body := struct {
		Version uint64 `json:"version"`
	}{version}
	pause := newBackoff(c.cfg)
	for {
		entry := c.turn.current()
		err := c.do(ctx, c.cfg.Timeout, http.MethodPost, entry+"/v1/versions", body, nil)
		if err == nil || final(err) {
			return errors.Trace(err)
		}
		c.turn.leave(entry)
		if werr := pause.wait(ctx, err); werr != nil {
			return errors.Annotate(err, "publish")
		}
	}
}
