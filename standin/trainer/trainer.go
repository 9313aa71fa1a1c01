// Package trainer is a stand-in for a trainer: it asks for steps through the
// client library, "trains" on a clock as the groups come, publishes new weight
// versions, and records what it got, sample by sample, for checks against the
// ground truth.
package trainer

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/juju/errors"

	client "dandelionsill.org/trainer"
)

const (
	defaultPromptWords = 32
	promptVocabulary   = 4096
	storeTimeout       = 30 * time.Second
)

// Options of a run.
type Options struct {
	Entries []string // base URLs
	Token   string
	Model   string
	// WeightStore is the weight store's base URL; needed to publish.
	WeightStore     string
	WeightBytes int64 // size of a published version
	FirstStep   uint64
	Steps       int
	Groups      int
	Samples     int // of each group
	MaxTokens   int
	PromptWords int
	// TrainTime is how long the trainer computes on a step, spread evenly over
	// its groups.
	TrainTime time.Duration
	// MaxUntrainedSteps is how many steps may be whole but not trained when the next one
	// is asked for.
	MaxUntrainedSteps int
	// PublishEvery steps a new version; 0: never.
	PublishEvery int
	// Version is the newest version at the begin; 0: the store's latest.
	Version uint64
	Seed    uint64
	// Wait, Timeout and Tries go to the client; zero: its defaults.
	Wait, Timeout time.Duration
	Tries         int
	// Out takes JSON lines, one Record each; nil: none.
	Out  io.Writer
	HTTP *http.Client
}

// Record is a line of Out: one of its fields is set.
type Record struct {
	Step    *StepRecord    `json:"step,omitempty"`
	Sample  *SampleRecord  `json:"sample,omitempty"`
	Publish *PublishRecord `json:"publish,omitempty"`
}

// StepRecord tells of one step.
type StepRecord struct {
	Step          uint64  `json:"step"`
	StartedMS     int64   `json:"started_ms"` // since 1970
	MakespanMS    float64 `json:"makespan_ms"`
	IdleMS        float64 `json:"idle_ms"` // with nothing to train on
	TrainMS       float64 `json:"train_ms"`
	Samples       int     `json:"samples"`
	Tokens        int     `json:"tokens"`
	LongestTokens int     `json:"longest_tokens"`
	Lost          int     `json:"lost"`
	Duplicated    int     `json:"duplicated"`
	StalenessMean float64 `json:"staleness_mean_versions"` // over tokens
	StalenessMax  uint64  `json:"staleness_max_versions"`
}

// SampleRecord is one received sample with all that a check needs.
type SampleRecord struct {
	Step      uint64        `json:"step"`
	Group     string        `json:"group"`
	Index     uint32        `json:"index"`
	Prompt    string        `json:"prompt"`
	Seed      uint64        `json:"seed"`
	MaxTokens int           `json:"max_tokens"`
	Tokens    uint32        `json:"tokens"`
	Text      string        `json:"text"`
	Spans     []client.Span `json:"spans"`
	Score     *float64      `json:"score,omitempty"`
	// Newest is the trainer's newest version at the delivery; Staleness is
	// Newest minus the version of each span.
	Newest    uint64   `json:"newest"`
	Staleness []uint64 `json:"staleness_versions"`
	AtMS      int64    `json:"at_ms"` // of the delivery, since the step's start
}

// PublishRecord tells of a published version.
type PublishRecord struct {
	Version uint64 `json:"version"`
	AtMS    int64  `json:"at_ms"` // since 1970, when the entry had taken it
}

// Report sums a run up.
type Report struct {
	Steps         []StepRecord `json:"steps"`
	IdleShare     float64      `json:"trainer_idle_share"`
	StalenessMean float64      `json:"staleness_mean_versions"`
	StalenessMax  uint64       `json:"staleness_max_versions"`
	Samples       int          `json:"samples"`
	Tokens        int          `json:"tokens"`
	Lost          int          `json:"samples_lost"`
	Duplicated    int          `json:"samples_duplicated"`
	Newest        uint64       `json:"newest_version"`
}

type trainer struct {
	Options
	client *client.Client
	clock  *Clock
	newest uint64
	report Report
	out    *json.Encoder
	stale  float64 // sum over tokens
}

// Run trains until its steps are done or ctx ends; the report covers the
// finished steps in either case.
func Run(ctx context.Context, o Options) (Report, error) {
	t := &trainer{Options: o, newest: o.Version}
	if t.HTTP == nil {
		t.HTTP = &http.Client{}
	}
	if t.PromptWords == 0 {
		t.PromptWords = defaultPromptWords
	}
	if o.Out != nil {
		t.out = json.NewEncoder(o.Out)
	}
	var err error
	t.client, err = client.New(client.Config{
		Entries: o.Entries, Token: o.Token, HTTP: t.HTTP, MaxWait: o.Wait, Timeout: o.Timeout, MaxAttempts: o.Tries,
	})
	if err != nil {
		return t.report, errors.Trace(err)
	}
	if t.newest == 0 && t.WeightStore != "" {
		if t.newest, err = t.latest(ctx); err != nil {
			return t.report, errors.Annotate(err, "latest version")
		}
	}
	t.clock = NewClock(time.Now(), t.TrainTime/time.Duration(max(1, t.Groups)))
	err = t.run(ctx)
	t.sum()
	return t.report, err
}

func (t *trainer) run(ctx context.Context) error {
	var ends []time.Time // of the steps' training
	for i := range t.Steps {
		id := t.FirstStep + uint64(i)
		if err := t.step(ctx, id); err != nil {
			return errors.Annotatef(err, "step %d", id)
		}
		ends = append(ends, t.clock.BusyUntil())
		if k := i - t.MaxUntrainedSteps; k >= 0 {
			if err := t.trained(ctx, k, ends[k]); err != nil {
				return err
			}
		}
	}
	for k := max(0, t.Steps-t.MaxUntrainedSteps); k < t.Steps; k++ {
		if err := t.trained(ctx, k, ends[k]); err != nil {
			return err
		}
	}
	return nil
}

// trained waits for the end of a step's training and publishes the version
// that it makes.
func (t *trainer) trained(ctx context.Context, step int, end time.Time) error {
	if err := sleep(ctx, time.Until(end)); err != nil {
		return errors.Trace(err)
	}
	if t.PublishEvery == 0 || (step+1)%t.PublishEvery != 0 {
		return nil
	}
	return errors.Annotate(t.publish(ctx), "publish")
}

// Groups returns the groups that a trainer with these options asks for in a
// step. They are a pure function of the options and the step.
func Groups(o Options, step uint64) []client.GroupSpec {
	words := o.PromptWords
	if words == 0 {
		words = defaultPromptWords
	}
	r := rand.New(rand.NewPCG(o.Seed, step))
	groups := make([]client.GroupSpec, 0, o.Groups)
	for i := range o.Groups {
		var prompt strings.Builder
		fmt.Fprintf(&prompt, "%s step %d group %d:", o.Model, step, i)
		for range words {
			fmt.Fprintf(&prompt, " w%d", r.IntN(promptVocabulary))
		}
		groups = append(groups, client.GroupSpec{
			ID: fmt.Sprintf("g%d", i), Prompt: prompt.String(),
			Samples: o.Samples, MaxTokens: o.MaxTokens, Seed: r.Uint64() >> 1,
		})
	}
	return groups
}

func (t *trainer) step(ctx context.Context, id uint64) error {
	groups := Groups(t.Options, id)
	specs := make(map[string]client.GroupSpec, len(groups))
	for _, g := range groups {
		specs[g.ID] = g
	}
	rec := StepRecord{Step: id, StartedMS: time.Now().UnixMilli(), TrainMS: ms(t.TrainTime)}
	began := time.Now()
	got := map[string]int{}
	stale := 0.0
	for g, err := range t.client.RunStep(ctx, client.Step{ID: id, NewestVersion: t.newest, Groups: groups}) {
		if err != nil {
			return err
		}
		rec.IdleMS += ms(t.clock.AddGroup(time.Now()))
		for _, s := range g.Samples {
			got[fmt.Sprintf("%s/%d", g.ID, s.Index)]++
			stale += t.sample(&rec, specs[g.ID], s, time.Since(began))
		}
	}
	rec.MakespanMS = ms(time.Since(began))
	for _, g := range groups {
		for i := range g.Samples {
			switch n := got[fmt.Sprintf("%s/%d", g.ID, i)]; {
			case n == 0:
				rec.Lost++
			case n > 1:
				rec.Duplicated += n - 1
			}
		}
	}
	t.stale += stale
	rec.StalenessMean = stale / float64(max(1, rec.Tokens))
	t.report.Steps = append(t.report.Steps, rec)
	return t.write(Record{Step: &rec})
}

// sample records one sample and returns its staleness summed over tokens.
func (t *trainer) sample(rec *StepRecord, g client.GroupSpec, s client.Sample, at time.Duration) float64 {
	line := SampleRecord{
		Step: rec.Step, Group: g.ID, Index: s.Index, Prompt: g.Prompt, Seed: g.Seed + uint64(s.Index),
		MaxTokens: g.MaxTokens, Tokens: s.Tokens, Text: s.Text, Spans: s.Spans, Score: s.Score,
		Newest: t.newest, AtMS: at.Milliseconds(),
	}
	sum := 0.0
	for _, sp := range s.Spans {
		behind := t.newest - min(t.newest, sp.Version)
		line.Staleness = append(line.Staleness, behind)
		rec.StalenessMax = max(rec.StalenessMax, behind)
		sum += float64(behind) * float64(sp.To-sp.From)
	}
	rec.Samples++
	rec.Tokens += int(s.Tokens)
	rec.LongestTokens = max(rec.LongestTokens, int(s.Tokens))
	_ = t.write(Record{Sample: &line})
	return sum
}

func (t *trainer) write(r Record) error {
	if t.out == nil {
		return nil
	}
	return errors.Trace(t.out.Encode(r))
}

func (t *trainer) sum() {
	idle, all := 0.0, 0.0
	r := &t.report
	for _, s := range r.Steps {
		idle += s.IdleMS
		all += s.IdleMS + s.TrainMS
		r.Samples += s.Samples
		r.Tokens += s.Tokens
		r.Lost += s.Lost
		r.Duplicated += s.Duplicated
		r.StalenessMax = max(r.StalenessMax, s.StalenessMax)
	}
	if all > 0 {
		r.IdleShare = idle / all
	}
	r.StalenessMean = t.stale / float64(max(1, r.Tokens))
	r.Newest = t.newest
}

// publish puts a new version into the store, then tells the entries.
func (t *trainer) publish(ctx context.Context) error {
	version := t.newest + 1
	if t.WeightStore != "" {
		if err := t.put(ctx, version); err != nil {
			return err
		}
	}
	// From here on the trainer's newest is this version, whoever knows it.
	t.newest = version
	if err := t.client.Publish(ctx, version); err != nil {
		return err
	}
	return t.write(Record{Publish: &PublishRecord{Version: version, AtMS: time.Now().UnixMilli()}})
}

func (t *trainer) put(ctx context.Context, version uint64) error {
	data := make([]byte, max(1, t.WeightBytes))
	copy(data, fmt.Sprintf("%s %d", t.Model, version))
	url := fmt.Sprintf("%s/models/%s/versions/%d", t.WeightStore, t.Model, version)
	_, err := t.store(ctx, http.MethodPut, url, bytes.NewReader(data))
	return err
}

func (t *trainer) latest(ctx context.Context) (uint64, error) {
	data, err := t.store(ctx, http.MethodGet, fmt.Sprintf("%s/models/%s/latest", t.WeightStore, t.Model), nil)
	if err != nil {
		return 0, err
	}
	var info struct {
		Version uint64 `json:"version"`
	}
	return info.Version, errors.Trace(json.Unmarshal(data, &info))
}

// store repeats a request until the store answers: it may be down for long.
func (t *trainer) store(ctx context.Context, method, url string, body *bytes.Reader) ([]byte, error) {
	const pause = 500 * time.Millisecond
	for {
		data, err := t.storeOnce(ctx, method, url, body)
		if err == nil {
			return data, nil
		}
		if sleep(ctx, pause) != nil {
			return nil, err
		}
	}
}

func (t *trainer) storeOnce(ctx context.Context, method, url string, body *bytes.Reader) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	var from io.Reader
	if body != nil {
		_, _ = body.Seek(0, io.SeekStart)
		from = body
	}
	req, err := http.NewRequestWithContext(ctx, method, url, from)
	if err != nil {
		return nil, errors.Trace(err)
	}
	res, err := t.HTTP.Do(req)
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if res.StatusCode/100 != 2 {
		return nil, errors.Errorf("weight store answered %d: %s", res.StatusCode, data)
	}
	return data, nil
}

func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
