// Package rollout plays trainers: each asks for a step of samples, trains on
// its groups as they come, and now and then brings new weights.
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

// Config of one trainer.
type Config struct {
	Name    string
	Token   string
	Model   string
	Entries []string // base URLs
	Store   string   // base URL of the weight store

	Groups      int // of one step
	Samples     int // of one group
	MaxTokens   int
	PromptChars int
	Bound       uint64 // the manifest's staleness bound, for the judge
	Seed        uint64

	Steps       int           // at most; 0: until For is over
	Duration         time.Duration // no step begins later; 0: no limit
	StepTimeout time.Duration // a step that takes longer is lost
	TrainTime       time.Duration // training time of a step, spread evenly over its groups
	// MaxAhead is how many steps may be whole but not trained when the next one
	// is asked for.
	MaxAhead int
	// PublishEvery brings a new weight version after so many steps; 0: never.
	PublishEvery int
	WeightBytes  int
	// NewestVersion is the model's newest version, shared by its trainers.
	NewestVersion *atomic.Uint64
	// KnownLengths, if set, is what the trainer remembers of the samples of its last
	// epoch: it tells their mean length as its guess for the prompt.
	KnownLengths *judge.LengthModel
	// OnStep is called after each step; may be nil.
	OnStep func(judge.Step)
	// OnGroup is called for each group as it comes; may be nil.
	OnGroup func(step uint64, group trainer.Group)
}

// player is a trainer at work.
type player struct {
	Config
	client *trainer.Client
	clock  *standin.Clock
	work   sync.WaitGroup
	mu     sync.Mutex // one publication at a time
	err    error      // the first of a publication
}

// Run runs steps one after the other and returns what came of them. It returns
// when the last one is trained.
func Run(ctx context.Context, cfg Config) ([]judge.Step, error) {
	client, err := trainer.New(trainer.Config{Entries: cfg.Entries, Token: cfg.Token, MaxWait: time.Second})
	if err != nil {
		return nil, errors.Trace(err)
	}
	perGroup := cfg.TrainTime / time.Duration(max(1, cfg.Groups))
	p := &player{Config: cfg, client: client, clock: standin.NewClock(time.Now(), perGroup)}
	steps := p.run(ctx)
	p.work.Wait()
	return steps, errors.Trace(p.err)
}

func (p *player) run(ctx context.Context) []judge.Step {
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
		step := p.step(ctx, n)
		done := make(chan struct{})
		trained = append(trained, done)
		until := p.clock.BusyUntil()
		p.work.Go(func() {
			defer close(done)
			p.finish(ctx, n, until)
		})
		steps = append(steps, step)
		if p.OnStep != nil {
			p.OnStep(step)
		}
	}
	return steps
}

// finish waits until the step is trained and publishes the new weights.
func (p *player) finish(ctx context.Context, n uint64, until time.Time) {
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
	p.err = cmp.Or(p.err, p.publish(ctx))
}

// step asks for one step and waits for it.
func (p *player) step(ctx context.Context, n uint64) judge.Step {
	ctx, cancel := context.WithTimeout(ctx, p.StepTimeout)
	defer cancel()
	ask := trainer.Step{ID: n, NewestVersion: p.NewestVersion.Load(), Groups: p.groups(n)}
	specs := map[string]trainer.GroupSpec{}
	step := judge.Step{Trainer: p.Name, Step: n, Newest: ask.NewestVersion, Bound: p.Bound, Started: time.Now()}
	for _, g := range ask.Groups {
		specs[g.ID] = g
		step.Requested += g.Samples
	}
	for group, err := range p.client.RunStep(ctx, ask) {
		if err != nil {
			step.Error = err.Error()
			break
		}
		step.IdleTime += p.clock.AddGroup(time.Now())
		step.TrainTime += p.TrainTime / time.Duration(p.Groups)
		step.Samples = append(step.Samples, samples(specs[group.ID], group, p.NewestVersion.Load())...)
		if p.OnGroup != nil {
			p.OnGroup(n, group)
		}
	}
	step.Duration = time.Since(step.Started)
	return step
}

func samples(spec trainer.GroupSpec, group trainer.Group, newest uint64) []judge.Sample {
	out := make([]judge.Sample, 0, len(group.Samples))
	for _, s := range group.Samples {
		m := judge.Sample{
			Group: group.ID, Index: int(s.Index), Prompt: spec.Prompt,
			Seed: spec.Seed + uint64(s.Index), MaxTokens: spec.MaxTokens, Text: s.Text, Newest: newest,
		}
		for _, sp := range s.Spans {
			m.Spans = append(m.Spans, truth.Span{Version: sp.Version, From: int(sp.From), To: int(sp.To)})
		}
		out = append(out, m)
	}
	return out
}

// groups makes the step's groups; the same seed gives the same ones.
func (cfg *Config) groups(n uint64) []trainer.GroupSpec {
	rng := rand.New(rand.NewPCG(cfg.Seed, n))
	list := make([]trainer.GroupSpec, cfg.Groups)
	for i := range list {
		head := fmt.Sprintf("%s seed %d step %d group %d: draft the order. ", cfg.Name, cfg.Seed, n, i)
		list[i] = trainer.GroupSpec{
			ID:        fmt.Sprintf("g%03d", i),
			Prompt:    head + filler(rng, cfg.PromptChars-len(head)),
			Samples:   cfg.Samples,
			MaxTokens: cfg.MaxTokens,
			Seed:      rng.Uint64() >> 1,
		}
		list[i].ExpectedTokens = cfg.guess(list[i])
	}
	return list
}

// guess is the mean length of as many samples of the prompt with other seeds.
func (cfg *Config) guess(g trainer.GroupSpec) int {
	if cfg.KnownLengths == nil {
		return 0
	}
	sum := 0
	for i := range g.Samples {
		sum += cfg.KnownLengths.Tokens(g.Prompt, uint64(i), g.MaxTokens)
	}
	return sum / g.Samples
}

var words = strings.Fields("oak lime parcel felling notice review boundary permit annex municipality crown root survey")

func filler(rng *rand.Rand, chars int) string {
	var b strings.Builder
	for b.Len() < chars {
		b.WriteString(words[rng.IntN(len(words))])
		b.WriteByte(' ')
	}
	return b.String()
}

// publish brings new weights into the store and announces them.
func (p *player) publish(ctx context.Context) error {
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

// PutWeights stores the deterministic weights of a version.
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
		return errors.Errorf("store answered %s", resp.Status)
	}
	return nil
}
