package straggle

import (
	"container/heap"
	"slices"
)

// Priority bonuses, larger than any predicted length. Samples that were lost
// once are already late. The first sample of a group without a length hint is a
// probe of the group's length.
const (
	probeBonus    = 1 << 32
	requeuedBonus = 1 << 40
)

// group is the state of one group of the step.
type group struct {
	Group
	index           int
	unstarted       []int // indexes of samples that were never started
	requeued        []int // indexes of samples to start again after a lost run
	finishedLengths []int // in tokens
	finishedTokens  int   // sum of finishedLengths
	liveTokens      int   // generated so far by running samples
	probeStarted    bool
	priority        float64
	heapIndex       int // index in Plan.queue; -1: not queued
}

func (g *group) addFinished(tokens int) {
	g.finishedLengths = append(g.finishedLengths, tokens)
	g.finishedTokens += tokens
}

func (g *group) remove(index int) {
	same := func(i int) bool { return i == index }
	g.unstarted = slices.DeleteFunc(g.unstarted, same)
	g.requeued = slices.DeleteFunc(g.requeued, same)
}

// nextSample removes the group's next sample from the group's lists and
// returns its index. Lost samples are already late and come first, beginning
// with the one that has the fewest resumable tokens.
func (p *Plan) nextSample(g *group) int {
	g.probeStarted = true
	best := -1
	for i, index := range g.requeued {
		if best < 0 || p.samples[index].resumableTokens < p.samples[g.requeued[best]].resumableTokens {
			best = i
		}
	}
	if best >= 0 {
		index := g.requeued[best]
		g.requeued = slices.Delete(g.requeued, best, best+1)
		return index
	}
	index := g.unstarted[0]
	g.unstarted = g.unstarted[1:]
	return index
}

// computePriority returns the group's priority in the queue: the predicted
// length of its next sample, plus a bonus for probes and lost samples.
func (p *Plan) computePriority(g *group) float64 {
	if p.cfg.Baseline || p.cfg.NoLongestFirst {
		if len(g.requeued) > 0 {
			return requeuedBonus
		}
		return float64(-g.index)
	}
	priority := p.predictLength(g)
	if len(g.requeued) > 0 {
		return priority + requeuedBonus
	}
	if !g.probeStarted && g.Hint == 0 {
		return priority + probeBonus
	}
	return priority
}

// predictLength predicts the length in tokens of a sample that has not
// started.
//
// The first samples of a group to finish are its short ones, so the mean of
// the finished lengths would underestimate every group. The tokens of running
// samples are therefore added to the sum but not to the count, as in the
// estimate for censored lifetimes. The trainer's hint, or else the mean length
// of the step's samples, counts as one more finished sample.
func (p *Plan) predictLength(g *group) float64 {
	prior := float64(g.Hint)
	if prior == 0 {
		prior = p.meanLength()
	}
	if prior == 0 {
		prior = float64(g.MaxTokens) / unknownLengthDivisor
	}
	estimate := (prior + float64(g.finishedTokens+g.liveTokens)) / float64(1+len(g.finishedLengths))
	return min(estimate, float64(g.MaxTokens))
}

// meanLength estimates the mean length of the step's samples in tokens. It
// returns 0 if no sample has finished.
func (p *Plan) meanLength() float64 {
	if p.lengthHistogram.samples == 0 {
		return 0
	}
	return float64(p.lengthHistogram.tokens+p.liveTokens) / float64(p.lengthHistogram.samples)
}

// updateLiveTokens counts the tokens of running samples and reorders the queue
// by the new predictions.
func (p *Plan) updateLiveTokens() {
	p.liveTokens = 0
	for _, g := range p.groups {
		g.liveTokens = 0
	}
	for _, r := range p.runs {
		p.liveTokens += r.tokens
		p.groups[p.samples[r.sample].group].liveTokens += r.tokens
	}
	for _, g := range p.queue {
		g.priority = p.computePriority(g)
	}
	heap.Init(&p.queue)
}

// predictRemaining predicts how many more tokens a stream generates that has
// generated the given number. The prediction comes from the longer finished
// samples of its group, or else from predictLength. A stream that is longer
// than both is predicted from the longer finished samples of the whole step;
// one that is longer than all of these, by half of its length (the mean excess
// of a heavy tail).
func (p *Plan) predictRemaining(g *group, generated int) float64 {
	limit := float64(max(1, g.MaxTokens-generated))
	if generated == 0 {
		return min(p.predictLength(g), limit)
	}
	if mean, ok := meanAbove(g.finishedLengths, generated); ok {
		return min(mean-float64(generated), limit)
	}
	if estimate := p.predictLength(g); estimate > float64(generated) {
		return min(estimate-float64(generated), limit)
	}
	if mean, ok := p.lengthHistogram.meanAbove(generated); ok {
		return min(mean-float64(generated), limit)
	}
	return min(max(1, float64(generated)/2), limit)
}

// meanAbove returns the mean of the lengths greater than above, false if there
// are none.
func meanAbove(lengths []int, above int) (float64, bool) {
	n, sum := 0, 0
	for _, l := range lengths {
		if l > above {
			n++
			sum += l
		}
	}
	if n == 0 {
		return 0, false
	}
	return float64(sum) / float64(n), true
}

const lengthBuckets = 80

// lengthHistogram is a histogram of the step's finished lengths, in buckets of
// a quarter of a power of two.
type lengthHistogram struct {
	samples, tokens int
	bucketSamples   [lengthBuckets]int
	bucketTokens    [lengthBuckets]int
}

func lengthBucket(tokens int) int {
	b := 0
	for tokens >= 8 {
		tokens >>= 1
		b += 4
	}
	return min(b+tokens, lengthBuckets-1)
}

func (l *lengthHistogram) add(tokens int) {
	b := lengthBucket(tokens)
	l.samples++
	l.tokens += tokens
	l.bucketSamples[b]++
	l.bucketTokens[b] += tokens
}

// meanAbove returns the mean of the lengths in the buckets above that of
// generated, false if there are none.
func (l *lengthHistogram) meanAbove(generated int) (float64, bool) {
	n, sum := 0, 0
	for b := lengthBucket(generated) + 1; b < lengthBuckets; b++ {
		n += l.bucketSamples[b]
		sum += l.bucketTokens[b]
	}
	if n == 0 {
		return 0, false
	}
	return float64(sum) / float64(n), true
}

// groupHeap orders groups by descending priority, then by index.
type groupHeap []*group

// Len implements heap.Interface.
func (h groupHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h groupHeap) Less(i, j int) bool {
	if h[i].priority != h[j].priority {
		return h[i].priority > h[j].priority
	}
	return h[i].index < h[j].index
}

// Swap implements heap.Interface.
func (h groupHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (h *groupHeap) Push(x any) {
	g := x.(*group)
	g.heapIndex = len(*h)
	*h = append(*h, g)
}

// Pop implements heap.Interface.
func (h *groupHeap) Pop() any {
	old := *h
	g := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	g.heapIndex = -1
	return g
}
