// Package trainer is the client library for trainers. It posts a step of
// sample groups to an entry, pulls complete groups and yields each of them
// exactly once, also when entries crash, answers are lost or an earlier owner
// resumes after suspension.
//
// # The protocol, for clients in other languages
//
// All requests carry "Authorization: Bearer TOKEN". Errors are JSON,
// {"error":{"kind","message","not_run","retry_after_ms"}}, with Retry-After.
//
//  1. POST /v1/steps {"step","attempt","newest_version","groups":[{"id",
//     "prompt","samples","max_tokens","seed","expected_tokens"}],"have":[ids]}
//     asks an entry to own the step. Sample i of a group is generated with
//     seed+i. expected_tokens is an optional hint. "have" lists the groups
//     that the trainer has already; they are not generated again. The answer
//     is {"epoch":{"attempt","claim"},"step","groups"}, where groups is the
//     number of groups that will be delivered. The same attempt may be posted
//     again to the same entry.
//  2. GET /v1/steps/{step}/groups?attempt=&cursor=&wait_ms= pulls groups.
//     Start with cursor 0 and continue with the cursor of the last answer
//     whose groups you have stored: a request with a cursor acknowledges, and
//     frees, everything before it. After a lost answer, repeat the request
//     with the same cursor. "done" is true with the last group.
//  3. DELETE /v1/steps/{step}?attempt= frees the step.
//  4. POST /v1/versions {"version"} announces newer weights. The weights must
//     be in the weight store before they are announced.
//
// The groups that the trainer has stored are the only durable state of a step.
// Therefore a trainer must:
//
//   - raise the attempt, by one or more, whenever it switches to another entry
//     or resumes after a restart, and list the stored groups in "have";
//   - accept only answers for its current attempt, and none with a smaller
//     claim than it has seen for that attempt: these come from an earlier
//     owner;
//   - accept each group id once, only if it was requested and only if it is
//     complete, with each index from 0 to samples-1 exactly once.
//
// On kind "superseded" or "not_found", post the step with a greater attempt.
// On "leaving", do so at another entry. After other errors with a retry delay,
// repeat the request after that delay. "bad_request", "unauthenticated" and
// "forbidden" are final.
package trainer

import (
	"context"
	"net/http"
	"time"

	"github.com/juju/errors"

	"dandelionsill.org/base/outbound"
)

// Defaults of Config.
const (
	defaultMaxWait     = 10 * time.Second
	defaultTimeout     = 5 * time.Second
	defaultMaxAttempts = 3
	defaultMinBackoff  = 50 * time.Millisecond
	defaultMaxBackoff  = 5 * time.Second
)

// Config holds the settings of a Client. Entries and Token are required; other
// zero fields take defaults.
type Config struct {
	// Entries are the base URLs of the entries, "http://IP:port".
	Entries []string
	// Token is the trainer's bearer token.
	Token string
	// MaxWait is how long an entry may hold a pull while no group is ready.
	MaxWait time.Duration
	// Timeout limits each request; for a pull it is added to MaxWait. After
	// one timeout the client switches to another entry.
	Timeout time.Duration
	// MaxAttempts is how often a request is sent to one entry, while no answer
	// arrives, before the client switches to the next.
	MaxAttempts int
	// MinBackoff and MaxBackoff limit the pause between attempts.
	MinBackoff, MaxBackoff time.Duration
	// HTTP sends the requests; nil means a new client without a timeout.
	HTTP *http.Client
}

// Client runs steps and publishes versions. It is safe for concurrent use.
type Client struct {
	cfg      Config
	rotation *entryRotation
}

// New returns a client for cfg. It fails if cfg has no entries.
func New(cfg Config) (*Client, error) {
	if len(cfg.Entries) == 0 {
		return nil, errors.NotValidf("config without entries")
	}
	if cfg.MaxWait == 0 {
		cfg.MaxWait = defaultMaxWait
	}
	if cfg.Timeout == 0 {
		cfg.Timeout = defaultTimeout
	}
	if cfg.MaxAttempts == 0 {
		cfg.MaxAttempts = defaultMaxAttempts
	}
	if cfg.MinBackoff == 0 {
		cfg.MinBackoff = defaultMinBackoff
	}
	if cfg.MaxBackoff == 0 {
		cfg.MaxBackoff = defaultMaxBackoff
	}
	if cfg.HTTP == nil {
		cfg.HTTP = &http.Client{Transport: outbound.NewTransport(http.DefaultTransport.(*http.Transport).Clone())}
	}
	return &Client{cfg: cfg, rotation: &entryRotation{entries: cfg.Entries}}, nil
}

// GroupSpec describes one requested group.
type GroupSpec struct {
	ID             string `json:"id"`
	Prompt         string `json:"prompt"`
	Samples        int    `json:"samples"`
	MaxTokens      int    `json:"max_tokens"`
	Seed           uint64 `json:"seed"`
	ExpectedTokens int    `json:"expected_tokens,omitempty"`
}

// Step is a trainer's request for sample groups.
type Step struct {
	ID uint64
	// Attempt is the first attempt to post; 0 means 1. After a restart of the
	// trainer it must be greater than every attempt posted before.
	Attempt uint64
	// NewestVersion is the trainer's newest weight version.
	NewestVersion uint64
	Groups        []GroupSpec
	// Have lists the IDs of the groups that the trainer has already.
	Have []string
}

// Span states that weight version Version generated tokens [From, To).
type Span struct {
	Version uint64 `json:"version"`
	From    uint32 `json:"from"`
	To      uint32 `json:"to"`
}

// Sample is one generated sample. Score is nil if the manifest names no scorer
// for the trainer.
type Sample struct {
	Index  uint32   `json:"index"`
	Text   string   `json:"text"`
	Tokens uint32   `json:"tokens"`
	Spans  []Span   `json:"spans"`
	Score  *float64 `json:"score,omitempty"`
}

// Group is one complete group.
type Group struct {
	ID      string   `json:"id"`
	Samples []Sample `json:"samples"`
}

// Epoch identifies an owner of a step: a later owner has a greater attempt, or
// the same attempt and a greater claim.
type Epoch struct {
	Attempt uint64 `json:"attempt"`
	Claim   uint64 `json:"claim"`
}

// Publish announces a weight version that is already in the weight store. It
// retries at one entry after the other until one accepts the announcement,
// refuses it for good, or ctx ends.
func (c *Client) Publish(ctx context.Context, version uint64) error {
	body := struct {
		Version uint64 `json:"version"`
	}{version}
	pause := newBackoff(c.cfg)
	for {
		entry := c.rotation.current()
		err := c.do(ctx, c.cfg.Timeout, http.MethodPost, entry+"/v1/versions", body, nil)
		if err == nil || isFinal(err) {
			return errors.Trace(err)
		}
		c.rotation.advance(entry)
		if werr := pause.wait(ctx, err); werr != nil {
			return errors.Annotate(err, "publish")
		}
	}
}
