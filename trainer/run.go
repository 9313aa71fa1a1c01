package trainer

import (
	"context"
	stderrors "errors"
	"fmt"
	"iter"
	"net/http"
	"time"

	"github.com/juju/errors"
)

const releaseTimeout = 2 * time.Second

type postBody struct {
	Step          uint64      `json:"step"`
	Attempt       uint64      `json:"attempt"`
	NewestVersion uint64      `json:"newest_version"`
	Groups        []GroupSpec `json:"groups"`
	Have          []string    `json:"have"`
}

type postAnswer struct {
	Epoch  Epoch  `json:"epoch"`
	Step   uint64 `json:"step"`
	Groups int    `json:"groups"`
}

type groupsAnswer struct {
	Epoch  Epoch   `json:"epoch"`
	Cursor int     `json:"cursor"`
	Groups []Group `json:"groups"`
	Done   bool    `json:"done"`
}

// errMove: this owner is of no more use; post elsewhere, or again.
var errMove = errors.New("the step needs a new owner")

// RunStep runs a step. Each group that was asked for and not in Have is
// yielded exactly once, whole. It retries until ctx ends; the one error that
// is yielded, last, is ctx's or a final refusal. A consumer that stops early
// releases the step.
//
// A group is acknowledged to the entry only after the loop body returned: a
// trainer that keeps groups durably in the body loses none when it dies, and
// names them in Have when it comes back, with a greater Attempt.
func (c *Client) RunStep(ctx context.Context, step Step) iter.Seq2[Group, error] {
	return func(yield func(Group, error) bool) {
		r := newRunner(c, step)
		defer r.release(ctx)
		for len(r.missing) > 0 {
			err := r.own(ctx, yield)
			if errors.Is(err, errStopped) {
				return
			}
			if err != nil {
				yield(Group{}, err)
				return
			}
		}
	}
}

var errStopped = errors.New("the consumer stopped")

type runner struct {
	c       *Client
	step    Step
	asked   map[string]GroupSpec
	missing map[string]bool
	have    []string
	attempt uint64
	epoch   Epoch
	entry   string
	posted  bool
	left    int // entries in a row that are leaving
	pause   *backoff
}

func newRunner(c *Client, step Step) *runner {
	r := &runner{
		c: c, step: step, have: append([]string{}, step.Have...),
		asked: map[string]GroupSpec{}, missing: map[string]bool{},
		attempt: max(step.Attempt, 1), pause: newBackoff(c.cfg),
	}
	held := map[string]bool{}
	for _, id := range step.Have {
		held[id] = true
	}
	for _, g := range step.Groups {
		r.asked[g.ID] = g
		if !held[g.ID] {
			r.missing[g.ID] = true
		}
	}
	return r
}

// own goes with one owner of the step: post, then pull until all is here or
// the owner is of no more use. It returns only final errors.
func (r *runner) own(ctx context.Context, yield func(Group, error) bool) error {
	r.entry = r.c.turn.current()
	err := r.post(ctx)
	if err == nil {
		r.pause.reset()
		err = r.pullAll(ctx, yield)
	}
	if err == nil || errors.Is(err, errStopped) || final(err) {
		return err
	}
	if ctx.Err() != nil {
		return errors.Annotatef(ctx.Err(), "%d groups are missing, last answer: %v", len(r.missing), err)
	}
	// Only a greater attempt makes sure that nothing of this owner, late as
	// it may come, is mixed up with the next one's.
	r.attempt++
	if kind := kindOf(err); kind != kindSuperseded && kind != kindNotFound {
		r.c.turn.leave(r.entry)
	}
	if kindOf(err) == kindLeaving && r.left < len(r.c.cfg.Entries)-1 {
		r.left++
		return nil // another entry may stay; no reason to wait
	}
	r.left = 0
	if werr := r.pause.wait(ctx, err); werr != nil {
		return errors.Annotatef(werr, "%d groups are missing, last answer: %v", len(r.missing), err)
	}
	return nil
}

// post asks the entry to own the step. A lost answer is asked for again with
// the same attempt, which the entry answers alike.
func (r *runner) post(ctx context.Context) error {
	body := postBody{
		Step: r.step.ID, Attempt: r.attempt, NewestVersion: r.step.NewestVersion,
		Groups: r.step.Groups, Have: r.have,
	}
	var answer postAnswer
	err := r.repeat(ctx, func() error {
		answer = postAnswer{}
		return r.c.do(ctx, r.c.cfg.Timeout, http.MethodPost, r.entry+"/v1/steps", body, &answer)
	})
	if err != nil {
		return err
	}
	if answer.Epoch.Attempt != r.attempt || answer.Step != r.step.ID {
		return errMove
	}
	r.epoch, r.posted = answer.Epoch, true
	return nil
}

// repeat tries a request up to Tries times while no answer comes. A refusal
// is an answer.
func (r *runner) repeat(ctx context.Context, send func() error) error {
	for try := 1; ; try++ {
		err := send()
		// An entry that is silent for the whole time is frozen or cut off:
		// with a greater attempt it is as safe to leave it now as later.
		silent := stderrors.Is(err, context.DeadlineExceeded)
		if err == nil || kindOf(err) != "" || ctx.Err() != nil || silent || try >= r.c.cfg.MaxAttempts {
			return err
		}
		if r.pause.wait(ctx, err) != nil {
			return err
		}
	}
}

func (r *runner) pullAll(ctx context.Context, yield func(Group, error) bool) error {
	for cursor := 0; len(r.missing) > 0; {
		url := fmt.Sprintf("%s/v1/steps/%d/groups?attempt=%d&cursor=%d&wait_ms=%d",
			r.entry, r.step.ID, r.attempt, cursor, r.c.cfg.MaxWait.Milliseconds())
		var answer groupsAnswer
		err := r.repeat(ctx, func() error {
			answer = groupsAnswer{}
			return r.c.do(ctx, r.c.cfg.MaxWait+r.c.cfg.Timeout, http.MethodGet, url, nil, &answer)
		})
		if err != nil {
			return err
		}
		if !r.current(answer.Epoch) || answer.Cursor < cursor {
			if err := r.pause.wait(ctx, errMove); err != nil {
				return err
			}
			continue
		}
		r.pause.reset()
		if err := r.takeAll(answer.Groups, yield); err != nil {
			return err
		}
		cursor = answer.Cursor
		if answer.Done && len(r.missing) > 0 {
			return errMove // the owner believes that more is held than is
		}
	}
	return nil
}

// current tells whether an answer is the present owner's. An old owner that
// was paused may answer late, with groups of an epoch that was left.
func (r *runner) current(e Epoch) bool {
	if e.Attempt != r.attempt || e.Claim < r.epoch.Claim {
		return false
	}
	r.epoch = e
	return true
}

// takeAll yields the groups that are missing, after checking that each is
// whole. A repeat, as after a lost answer or a take-over, is passed over.
func (r *runner) takeAll(groups []Group, yield func(Group, error) bool) error {
	for _, g := range groups {
		if !r.missing[g.ID] {
			continue
		}
		if !whole(g, r.asked[g.ID]) {
			return errors.Annotatef(errMove, "group %s is not whole", g.ID)
		}
		delete(r.missing, g.ID)
		r.have = append(r.have, g.ID)
		if !yield(g, nil) {
			return errStopped
		}
	}
	return nil
}

// whole tells whether the group has each sample that was asked for exactly
// once, and each token its label.
func whole(g Group, asked GroupSpec) bool {
	if len(g.Samples) != asked.Samples {
		return false
	}
	seen := make([]bool, asked.Samples)
	for _, s := range g.Samples {
		if int(s.Index) >= asked.Samples || seen[s.Index] || !labelled(s) {
			return false
		}
		seen[s.Index] = true
	}
	return true
}

func labelled(s Sample) bool {
	at := uint32(0)
	for _, sp := range s.Spans {
		if sp.From != at || sp.To <= sp.From || sp.Version == 0 {
			return false
		}
		at = sp.To
	}
	return at == s.Tokens
}

// release frees the step at its last owner. Losing it costs the entry some
// memory until it gives the step up.
func (r *runner) release(ctx context.Context) {
	if !r.posted {
		return
	}
	url := fmt.Sprintf("%s/v1/steps/%d?attempt=%d", r.entry, r.step.ID, r.attempt)
	_ = r.c.do(context.WithoutCancel(ctx), releaseTimeout, http.MethodDelete, url, nil, nil)
}
