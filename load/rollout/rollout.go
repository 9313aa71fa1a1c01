// Package rollout simulates trainers. Each requests steps of samples, trains on
// the groups as they arrive and publishes new weights from time to time.
package rollout

import (
	"bytes"
	"cmp"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"dandelionsill.org/adapters/protocol"
	"dandelionsill.org/load/judge"
	standin "dandelionsill.org/standin/trainer"
	"dandelionsill.org/standin/truth"
	"dandelionsill.org/standin/weights"
	"dandelionsill.org/trainer"
)

// Config holds the settings of one trainer.
type Config struct {
	Name    string
	Token   string
	Model   string
	Entries []string // base URLs
	Store   string   // base URL of the weight store

	Groups      int // per step
	Samples     int // per group
	MaxTokens   int
	PromptChars int
	Bound       uint64 // the manifest's staleness bound; recorded for package judge
	Seed        uint64

	Steps       int           // maximum number of steps; 0: no limit
	Duration    time.Duration // no step starts later; 0: no limit
	StepTimeout time.Duration // a step that takes longer fails
	TrainTime   time.Duration // training time of a step, spread evenly over its groups
	// MaxAhead is how many delivered steps may wait for their training when the
	// next step is requested.
	MaxAhead int
	// PublishEvery is the number of steps between weight versions; 0: no new
	// versions.
	PublishEvery int
	WeightBytes  int
	// NewestVersion is the model's newest version, shared by its trainers.
	NewestVersion *atomic.Uint64
	// KnownLengths, if set, holds what the trainer knows from its previous
	// training epoch: it sends the mean length of earlier samples of a prompt as
	// the expected length.
	KnownLengths *judge.LengthModel
	// OnStep, if not nil, is called after each step.
	OnStep func(judge.Step)
	// OnGroup, if not nil, is called for each group as it arrives.
	OnGroup func(step uint64, group trainer.Group)
}

// runner is the state of one running trainer.
type runner struct {
	Config
	client     *trainer.Client
	clock      *standin.Clock
	training   sync.WaitGroup
	mu         sync.Mutex // serializes publications
	publishErr error      // the first error of a publication
}

// Run runs steps one after the other and returns their records once the training
// on the last one has ended. The error is that of the first failed publication;
// the error of a step is in its record.
func Run(ctx context.Context, cfg Config) ([]judge.Step, error) {
	client, err := trainer.New(trainer.Config{Entries: cfg.Entries, Token: cfg.Token, MaxWait: time.Second})
	if err != nil {
		return nil, errors.Trace(err)
	}
	perGroup := cfg.TrainTime / time.Duration(max(1, cfg.Groups))
	p := &runner{Config: cfg, client: client, clock: standin.NewClock(time.Now(), perGroup)}
	steps := p.runSteps(ctx)
	p.training.Wait()
	return steps, errors.Trace(p.publishErr)
}

// runSteps requests steps until Steps or Duration is reached or ctx ends.
func (p *runner) runSteps(ctx context.Context) []judge.Step {
	var steps []judge.Step
	var trained []chan struct{}
	end := time.Now().Add(p.Duration)
	for n := uint64(1); p.Steps == 0 || n <= uint64(p.Steps); n++ {
		if k := len(trained) - 1 - p.MaxAhead; k >= 0 {
			<-trained[k]
		}
		if ctx.Err() != nil || (p.Duration > 0 && time.Now().After(end)) {
			break
		}
		step := p.runStep(ctx, n)
		done := make(chan struct{})
		trained = append(trained, done)
		until := p.clock.BusyUntil()
		p.training.Go(func() {
			defer close(done)
			p.finishTraining(ctx, n, until)
		})
		steps = append(steps, step)
		if p.OnStep != nil {
			p.OnStep(step)
		}
	}
	return steps
}

// finishTraining waits until the training on step n has ended and publishes new
// weights if they are due after it.
func (p *runner) finishTraining(ctx context.Context, n uint64, until time.Time) {
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return
	}
	if p.PublishEvery == 0 || n%uint64(p.PublishEvery) != 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.publishErr = cmp.Or(p.publishErr, p.publish(ctx))
}

// runStep requests step n and waits until it is complete, fails or exceeds
// StepTimeout.
func (p *runner) runStep(ctx context.Context, n uint64) judge.Step {
	ctx, cancel := context.WithTimeout(ctx, p.StepTimeout)
	defer cancel()
	request := trainer.Step{ID: n, NewestVersion: p.NewestVersion.Load(), Groups: p.makeGroups(n)}
	specs := map[string]trainer.GroupSpec{}
	step := judge.Step{Trainer: p.Name, Step: n, Newest: request.NewestVersion, Bound: p.Bound, Started: time.Now()}
	for _, g := range request.Groups {
		specs[g.ID] = g
		step.Requested += g.Samples
	}
	for group, err := range p.client.RunStep(ctx, request) {
		if err != nil {
			step.Error = err.Error()
			break
		}
		step.IdleTime += p.clock.AddGroup(time.Now())
		step.TrainTime += p.TrainTime / time.Duration(p.Groups)
		step.Samples = append(step.Samples, judgeSamples(specs[group.ID], group, p.NewestVersion.Load())...)
		if p.OnGroup != nil {
			p.OnGroup(n, group)
		}
	}
	step.Duration = time.Since(step.Started)
	return step
}

// judgeSamples converts a received group to judge's samples.
func judgeSamples(spec trainer.GroupSpec, group trainer.Group, newest uint64) []judge.Sample {
	out := make([]judge.Sample, 0, len(group.Samples))
	for _, s := range group.Samples {
		m := judge.Sample{
			Group: group.ID, Index: int(s.Index), Prompt: spec.Prompt,
			Seed: spec.Seed + uint64(s.Index), MaxTokens: spec.MaxTokens, Text: s.Text, Newest: newest,
		}
		for _, span := range s.Spans {
			m.Spans = append(m.Spans, truth.Span{Version: span.Version, From: int(span.From), To: int(span.To)})
		}
		out = append(out, m)
	}
	return out
}

// makeGroups returns the groups of step n, which depend only on the settings.
func (cfg *Config) makeGroups(n uint64) []trainer.GroupSpec {
	rng := rand.New(rand.NewPCG(cfg.Seed, n))
	list := make([]trainer.GroupSpec, cfg.Groups)
	for i := range list {
		prefix := fmt.Sprintf("%s seed %d step %d group %d: draft the order. ", cfg.Name, cfg.Seed, n, i)
		list[i] = trainer.GroupSpec{
			ID:        fmt.Sprintf("g%03d", i),
			Prompt:    prefix + fillerText(rng, cfg.PromptChars-len(prefix)),
			Samples:   cfg.Samples,
			MaxTokens: cfg.MaxTokens,
			Seed:      rng.Uint64() >> 1,
		}
		list[i].ExpectedTokens = cfg.expectedTokens(list[i])
	}
	return list
}

// expectedTokens returns the mean length of as many samples of the prompt with
// other seeds, 0 if no lengths are known.
func (cfg *Config) expectedTokens(g trainer.GroupSpec) int {
	if cfg.KnownLengths == nil {
		return 0
	}
	sum := 0
	for i := range g.Samples {
		sum += cfg.KnownLengths.Tokens(g.Prompt, uint64(i), g.MaxTokens)
	}
	return sum / g.Samples
}

var fillerWords = strings.Fields("oak lime parcel felling notice review boundary permit annex municipality crown root survey")

// fillerText returns random words with at least length bytes in total.
func fillerText(rng *rand.Rand, length int) string {
	var b strings.Builder
	for b.Len() < length {
		b.WriteString(fillerWords[rng.IntN(len(fillerWords))])
		b.WriteByte(' ')
	}
	return b.String()
}

// publish puts a new weight version into the store and announces it.
func (p *runner) publish(ctx context.Context) error {
	version := p.NewestVersion.Load() + 1
	if err := PutWeights(ctx, p.Store, p.Model, version, p.WeightBytes); err != nil {
		return errors.Annotatef(err, "weights %d", version)
	}
	if err := p.client.Publish(ctx, version); err != nil {
		return errors.Annotatef(err, "version %d", version)
	}
	p.NewestVersion.Store(version)
	return nil
}

// PutWeights puts a version's deterministic weights of size bytes into the weight
// store at the base URL store.
func PutWeights(ctx context.Context, store, model string, version uint64, size int) error {
	data := weights.GenerateBytes(model, version, size)
	url := fmt.Sprintf("%s/models/%s/versions/%d", store, model, version)
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, url, bytes.NewReader(data))
	if err != nil {
		return errors.Trace(err)
	}
	sum := sha256.Sum256(data)
	req.Header.Set(protocol.WeightsDigest, hex.EncodeToString(sum[:]))
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return errors.Trace(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("weight store answered %s", resp.Status)
	}
	return nil
}
