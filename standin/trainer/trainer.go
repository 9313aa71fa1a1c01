// Package trainer is a stand-in for a trainer. It requests steps through the client
// library, simulates the training time of the groups as they arrive, publishes new
// weight versions, and records every sample it receives for checks against the
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

// Options configures a run.
type Options struct {
	Entries []string // base URLs of the entries
	Token   string
	Model   string
	// WeightStore is the weight store's base URL. If empty, the trainer publishes
	// versions without storing weights.
	WeightStore string
	WeightBytes int64 // size of a published version
	FirstStep   uint64
	Steps       int
	Groups      int
	Samples     int // samples per group
	MaxTokens   int
	PromptWords int
	// TrainTime is the training time of a step, spread evenly over its groups.
	TrainTime time.Duration
	// MaxUntrainedSteps is the maximum number of steps that are received but not
	// yet trained on when the next step is requested.
	MaxUntrainedSteps int
	// PublishEvery is the number of steps between new versions; 0: none are
	// published.
	PublishEvery int
	// Version is the newest version at the start; 0: the store's latest.
	Version uint64
	Seed    uint64
	// Wait, Timeout and Tries are passed to the client; zero: its defaults.
	Wait, Timeout time.Duration
	Tries         int
	// Out receives the records as JSON lines; nil: none are written.
	Out  io.Writer
	HTTP *http.Client
}

// Record is a line of Out. Exactly one field is set.
type Record struct {
	Step    *StepRecord    `json:"step,omitempty"`
	Sample  *SampleRecord  `json:"sample,omitempty"`
	Publish *PublishRecord `json:"publish,omitempty"`
}

// StepRecord is the result of one step.
type StepRecord struct {
	Step          uint64  `json:"step"`
	StartedMS     int64   `json:"started_ms"` // since 1970
	MakespanMS    float64 `json:"makespan_ms"`
	IdleMS        float64 `json:"idle_ms"` // time without a group to train on
	TrainMS       float64 `json:"train_ms"`
	Samples       int     `json:"samples"`
	Tokens        int     `json:"tokens"`
	LongestTokens int     `json:"longest_tokens"`
	Lost          int     `json:"lost"`
	Duplicated    int     `json:"duplicated"`
	StalenessMean float64 `json:"staleness_mean_versions"` // mean over tokens
	StalenessMax  uint64  `json:"staleness_max_versions"`
}

// SampleRecord is one received sample with everything that is needed to check it
// against the ground truth.
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
	// Newest is the trainer's newest version at the delivery. Staleness holds
	// Newest minus the version for each span, but at least 0.
	Newest    uint64   `json:"newest"`
	Staleness []uint64 `json:"staleness_versions"`
	AtMS      int64    `json:"at_ms"` // time of the delivery since the start of the step
}

// PublishRecord is a published version.
type PublishRecord struct {
	Version uint64 `json:"version"`
	AtMS    int64  `json:"at_ms"` // since 1970, when an entry had accepted it
}

// Report is the summary of a run.
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
	client       *client.Client
	clock        *Clock
	newest       uint64
	report       Report
	out          *json.Encoder
	stalenessSum float64 // sum over all tokens received
}

// Run requests and trains all steps until they are done, an error occurs or ctx is
// done. In each case the report covers the steps that were received.
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
		if t.newest, err = t.latestVersion(ctx); err != nil {
			return t.report, errors.Annotate(err, "latest version")
		}
	}
	t.clock = NewClock(time.Now(), t.TrainTime/time.Duration(max(1, t.Groups)))
	err = t.run(ctx)
	t.summarize()
	return t.report, err
}

// run requests the steps one after the other, waiting for the training of older
// ones as MaxUntrainedSteps requires.
func (t *trainer) run(ctx context.Context) error {
	var trainedAt []time.Time // when the training on each step ends
	for i := range t.Steps {
		id := t.FirstStep + uint64(i)
		if err := t.runStep(ctx, id); err != nil {
			return errors.Annotatef(err, "step %d", id)
		}
		trainedAt = append(trainedAt, t.clock.BusyUntil())
		if k := i - t.MaxUntrainedSteps; k >= 0 {
			if err := t.finishTraining(ctx, k, trainedAt[k]); err != nil {
				return err
			}
		}
	}
	for k := max(0, t.Steps-t.MaxUntrainedSteps); k < t.Steps; k++ {
		if err := t.finishTraining(ctx, k, trainedAt[k]); err != nil {
			return err
		}
	}
	return nil
}

// finishTraining waits until end, when the training on a step ends, and publishes
// a new version if one is due. step is the number of earlier steps in this run.
func (t *trainer) finishTraining(ctx context.Context, step int, end time.Time) error {
	if err := sleep(ctx, time.Until(end)); err != nil {
		return errors.Trace(err)
	}
	if t.PublishEvery == 0 || (step+1)%t.PublishEvery != 0 {
		return nil
	}
	return errors.Annotate(t.publish(ctx), "publish")
}

// Groups returns the groups that a trainer with these options requests in a step.
// They are a pure function of the options and the step.
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

// runStep requests a step, records its samples as they arrive and counts the lost
// and duplicated ones.
func (t *trainer) runStep(ctx context.Context, id uint64) error {
	groups := Groups(t.Options, id)
	specs := make(map[string]client.GroupSpec, len(groups))
	for _, g := range groups {
		specs[g.ID] = g
	}
	rec := StepRecord{Step: id, StartedMS: time.Now().UnixMilli(), TrainMS: milliseconds(t.TrainTime)}
	started := time.Now()
	received := map[string]int{}
	stalenessSum := 0.0
	for g, err := range t.client.RunStep(ctx, client.Step{ID: id, NewestVersion: t.newest, Groups: groups}) {
		if err != nil {
			return err
		}
		rec.IdleMS += milliseconds(t.clock.AddGroup(time.Now()))
		for _, s := range g.Samples {
			received[fmt.Sprintf("%s/%d", g.ID, s.Index)]++
			stalenessSum += t.recordSample(&rec, specs[g.ID], s, time.Since(started))
		}
	}
	rec.MakespanMS = milliseconds(time.Since(started))
	for _, g := range groups {
		for i := range g.Samples {
			switch n := received[fmt.Sprintf("%s/%d", g.ID, i)]; {
			case n == 0:
				rec.Lost++
			case n > 1:
				rec.Duplicated += n - 1
			}
		}
	}
	t.stalenessSum += stalenessSum
	rec.StalenessMean = stalenessSum / float64(max(1, rec.Tokens))
	t.report.Steps = append(t.report.Steps, rec)
	return t.writeRecord(Record{Step: &rec})
}

// recordSample records one sample and returns its staleness summed over its tokens.
// at is the time from the start of the step to the delivery.
func (t *trainer) recordSample(rec *StepRecord, g client.GroupSpec, s client.Sample, at time.Duration) float64 {
	line := SampleRecord{
		Step: rec.Step, Group: g.ID, Index: s.Index, Prompt: g.Prompt, Seed: g.Seed + uint64(s.Index),
		MaxTokens: g.MaxTokens, Tokens: s.Tokens, Text: s.Text, Spans: s.Spans, Score: s.Score,
		Newest: t.newest, AtMS: at.Milliseconds(),
	}
	sum := 0.0
	for _, sp := range s.Spans {
		staleness := t.newest - min(t.newest, sp.Version)
		line.Staleness = append(line.Staleness, staleness)
		rec.StalenessMax = max(rec.StalenessMax, staleness)
		sum += float64(staleness) * float64(sp.To-sp.From)
	}
	rec.Samples++
	rec.Tokens += int(s.Tokens)
	rec.LongestTokens = max(rec.LongestTokens, int(s.Tokens))
	_ = t.writeRecord(Record{Sample: &line})
	return sum
}

// writeRecord writes a record to Out, if there is one.
func (t *trainer) writeRecord(r Record) error {
	if t.out == nil {
		return nil
	}
	return errors.Trace(t.out.Encode(r))
}

// summarize fills in the report's totals from its steps.
func (t *trainer) summarize() {
	idle, total := 0.0, 0.0
	r := &t.report
	for _, s := range r.Steps {
		idle += s.IdleMS
		total += s.IdleMS + s.TrainMS
		r.Samples += s.Samples
		r.Tokens += s.Tokens
		r.Lost += s.Lost
		r.Duplicated += s.Duplicated
		r.StalenessMax = max(r.StalenessMax, s.StalenessMax)
	}
	if total > 0 {
		r.IdleShare = idle / total
	}
	r.StalenessMean = t.stalenessSum / float64(max(1, r.Tokens))
	r.Newest = t.newest
}

// publish stores a new version in the weight store and then announces it to an entry.
func (t *trainer) publish(ctx context.Context) error {
	version := t.newest + 1
	if t.WeightStore != "" {
		if err := t.putVersion(ctx, version); err != nil {
			return err
		}
	}
	// The version counts as the trainer's newest even if announcing it fails.
	t.newest = version
	if err := t.client.Publish(ctx, version); err != nil {
		return err
	}
	return t.writeRecord(Record{Publish: &PublishRecord{Version: version, AtMS: time.Now().UnixMilli()}})
}

// putVersion stores a version of WeightBytes bytes in the weight store.
func (t *trainer) putVersion(ctx context.Context, version uint64) error {
	data := make([]byte, max(1, t.WeightBytes))
	copy(data, fmt.Sprintf("%s %d", t.Model, version))
	url := fmt.Sprintf("%s/models/%s/versions/%d", t.WeightStore, t.Model, version)
	_, err := t.requestStore(ctx, http.MethodPut, url, bytes.NewReader(data))
	return err
}

// latestVersion returns the newest version in the weight store.
func (t *trainer) latestVersion(ctx context.Context) (uint64, error) {
	data, err := t.requestStore(ctx, http.MethodGet, fmt.Sprintf("%s/models/%s/latest", t.WeightStore, t.Model), nil)
	if err != nil {
		return 0, err
	}
	var info struct {
		Version uint64 `json:"version"`
	}
	return info.Version, errors.Trace(json.Unmarshal(data, &info))
}

// requestStore repeats a request until it succeeds or ctx is done, because the
// weight store may be unavailable for a long time. It returns the answer's body.
func (t *trainer) requestStore(ctx context.Context, method, url string, body *bytes.Reader) ([]byte, error) {
	const pause = 500 * time.Millisecond
	for {
		data, err := t.requestStoreOnce(ctx, method, url, body)
		if err == nil {
			return data, nil
		}
		if sleep(ctx, pause) != nil {
			return nil, err
		}
	}
}

// requestStoreOnce sends one request to the weight store. Any status other than 2xx
// is an error.
func (t *trainer) requestStoreOnce(ctx context.Context, method, url string, body *bytes.Reader) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	var reader io.Reader
	if body != nil {
		_, _ = body.Seek(0, io.SeekStart)
		reader = body
	}
	req, err := http.NewRequestWithContext(ctx, method, url, reader)
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

// sleep waits for d; it returns the context's error if ctx is done before.
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

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
