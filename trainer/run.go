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

// errNewOwnerNeeded means that the step must be posted again, with a greater
// attempt, because its current owner cannot complete it.
var errNewOwnerNeeded = errors.New("the step needs a new owner")

// RunStep runs a step. It yields each requested group that is not in Have
// exactly once, and only when it is complete. It retries until ctx ends; the
// only error that it yields, as the last element, is ctx's or a final error of
// an entry. If the consumer stops early, the step is released.
//
// A group is acknowledged to the entry only after the loop body has returned.
// A trainer that stores groups durably in the loop body therefore loses none
// when it crashes; after its restart it lists them in Have, with a greater
// Attempt.
func (c *Client) RunStep(ctx context.Context, step Step) iter.Seq2[Group, error] {
	return func(yield func(Group, error) bool) {
		r := newRunner(c, step)
		defer r.release(ctx)
		for len(r.missing) > 0 {
			err := r.runWithOwner(ctx, yield)
			if errors.Is(err, errConsumerStopped) {
				return
			}
			if err != nil {
				yield(Group{}, err)
				return
			}
		}
	}
}

// errConsumerStopped means that the consumer left the loop over RunStep.
var errConsumerStopped = errors.New("the consumer stopped")

// runner runs one step, with one owner after the other.
type runner struct {
	client       *Client
	step         Step
	specs        map[string]GroupSpec
	missing      map[string]bool
	have         []string
	attempt      uint64
	epoch        Epoch
	entry        string
	posted       bool
	leavingInRow int // consecutive entries that are leaving
	pause        *backoff
}

func newRunner(c *Client, step Step) *runner {
	r := &runner{
		client: c, step: step, have: append([]string{}, step.Have...),
		specs: map[string]GroupSpec{}, missing: map[string]bool{},
		attempt: max(step.Attempt, 1), pause: newBackoff(c.cfg),
	}
	have := map[string]bool{}
	for _, id := range step.Have {
		have[id] = true
	}
	for _, g := range step.Groups {
		r.specs[g.ID] = g
		if !have[g.ID] {
			r.missing[g.ID] = true
		}
	}
	return r
}

// runWithOwner posts the step to the current entry and pulls groups until none
// is missing or another owner is needed; it returns nil in both cases. The
// errors that it returns are final.
func (r *runner) runWithOwner(ctx context.Context, yield func(Group, error) bool) error {
	r.entry = r.client.rotation.current()
	err := r.post(ctx)
	if err == nil {
		r.pause.reset()
		err = r.pullAll(ctx, yield)
	}
	if err == nil || errors.Is(err, errConsumerStopped) || isFinal(err) {
		return err
	}
	if ctx.Err() != nil {
		return errors.Annotatef(ctx.Err(), "%d groups are missing, last answer: %v", len(r.missing), err)
	}
	// A greater attempt is needed to distinguish late answers of this owner
	// from those of the next one.
	r.attempt++
	if kind := kindOf(err); kind != kindSuperseded && kind != kindNotFound {
		r.client.rotation.advance(r.entry)
	}
	if kindOf(err) == kindLeaving && r.leavingInRow < len(r.client.cfg.Entries)-1 {
		r.leavingInRow++
		return nil // another entry may be available at once
	}
	r.leavingInRow = 0
	if werr := r.pause.wait(ctx, err); werr != nil {
		return errors.Annotatef(werr, "%d groups are missing, last answer: %v", len(r.missing), err)
	}
	return nil
}

// post asks the entry to own the step. After a lost answer it posts the same
// attempt again, to which the entry gives the same answer.
func (r *runner) post(ctx context.Context) error {
	body := postBody{
		Step: r.step.ID, Attempt: r.attempt, NewestVersion: r.step.NewestVersion,
		Groups: r.step.Groups, Have: r.have,
	}
	var answer postAnswer
	err := r.retry(ctx, func() error {
		answer = postAnswer{}
		return r.client.do(ctx, r.client.cfg.Timeout, http.MethodPost, r.entry+"/v1/steps", body, &answer)
	})
	if err != nil {
		return err
	}
	if answer.Epoch.Attempt != r.attempt || answer.Step != r.step.ID {
		return errNewOwnerNeeded
	}
	r.epoch, r.posted = answer.Epoch, true
	return nil
}

// retry sends a request up to MaxAttempts times while no answer arrives. An
// error answer of the entry is an answer too and is returned at once.
func (r *runner) retry(ctx context.Context, send func() error) error {
	for attempt := 1; ; attempt++ {
		err := send()
		// An entry that does not answer within the timeout is suspended or
		// unreachable. The greater attempt that follows makes it safe to switch
		// after the first timeout, without further attempts here.
		timedOut := stderrors.Is(err, context.DeadlineExceeded)
		if err == nil || kindOf(err) != "" || ctx.Err() != nil || timedOut || attempt >= r.client.cfg.MaxAttempts {
			return err
		}
		if r.pause.wait(ctx, err) != nil {
			return err
		}
	}
}

// pullAll pulls and yields groups until none is missing.
func (r *runner) pullAll(ctx context.Context, yield func(Group, error) bool) error {
	for cursor := 0; len(r.missing) > 0; {
		url := fmt.Sprintf("%s/v1/steps/%d/groups?attempt=%d&cursor=%d&wait_ms=%d",
			r.entry, r.step.ID, r.attempt, cursor, r.client.cfg.MaxWait.Milliseconds())
		var answer groupsAnswer
		err := r.retry(ctx, func() error {
			answer = groupsAnswer{}
			return r.client.do(ctx, r.client.cfg.MaxWait+r.client.cfg.Timeout, http.MethodGet, url, nil, &answer)
		})
		if err != nil {
			return err
		}
		if !r.acceptEpoch(answer.Epoch) || answer.Cursor < cursor {
			if err := r.pause.wait(ctx, errNewOwnerNeeded); err != nil {
				return err
			}
			continue
		}
		r.pause.reset()
		if err := r.yieldMissing(answer.Groups, yield); err != nil {
			return err
		}
		cursor = answer.Cursor
		if answer.Done && len(r.missing) > 0 {
			return errNewOwnerNeeded // the owner counts groups as delivered that are still missing
		}
	}
	return nil
}

// acceptEpoch reports whether an answer with epoch e comes from the current owner,
// and records the epoch if so. An earlier owner that was suspended may answer
// late, with groups of an earlier epoch.
func (r *runner) acceptEpoch(e Epoch) bool {
	if e.Attempt != r.attempt || e.Claim < r.epoch.Claim {
		return false
	}
	r.epoch = e
	return true
}

// yieldMissing checks that each group that is still missing is complete and
// yields it. It skips duplicates, which follow lost answers and changes of the
// owner.
func (r *runner) yieldMissing(groups []Group, yield func(Group, error) bool) error {
	for _, g := range groups {
		if !r.missing[g.ID] {
			continue
		}
		if !isComplete(g, r.specs[g.ID]) {
			return errors.Annotatef(errNewOwnerNeeded, "group %q is incomplete or wrongly labelled", g.ID)
		}
		delete(r.missing, g.ID)
		r.have = append(r.have, g.ID)
		if !yield(g, nil) {
			return errConsumerStopped
		}
	}
	return nil
}

// isComplete reports whether the group has each requested sample exactly once
// and each token has a version label.
func isComplete(g Group, spec GroupSpec) bool {
	if len(g.Samples) != spec.Samples {
		return false
	}
	seen := make([]bool, spec.Samples)
	for _, s := range g.Samples {
		if int(s.Index) >= spec.Samples || seen[s.Index] || !isLabelled(s) {
			return false
		}
		seen[s.Index] = true
	}
	return true
}

// isLabelled reports whether the spans cover all tokens of the sample without
// gaps or overlaps, each with a version.
func isLabelled(s Sample) bool {
	next := uint32(0)
	for _, span := range s.Spans {
		if span.From != next || span.To <= span.From || span.Version == 0 {
			return false
		}
		next = span.To
	}
	return next == s.Tokens
}

// release frees the step at its last owner, without retries: if the request is
// lost, the entry only keeps the step in memory until it abandons it.
func (r *runner) release(ctx context.Context) {
	if !r.posted {
		return
	}
	url := fmt.Sprintf("%s/v1/steps/%d?attempt=%d", r.entry, r.step.ID, r.attempt)
	_ = r.client.do(context.WithoutCancel(ctx), releaseTimeout, http.MethodDelete, url, nil, nil)
}
