// Package held keeps finished samples for some time after they were sent to
// their entry. If the entry dies, the new owner of the step takes them over
// instead of generating them again. The store is bounded in bytes and age;
// losing a sample from it costs tokens, never correctness.
package held

import (
	"container/list"
	"sync"
	"time"

	"dandelionsill.org/wire/pb"
)

const (
	// DefaultMaxBytes holds dozens of steps: one step of the whole fleet has
	// 24 trainers * 2,048 samples on 1,500 servers, which is 33 samples of about
	// 10 KB per server.
	DefaultMaxBytes = 16 << 20
	// DefaultMaxAge is two and a half times the longest step (4 min).
	DefaultMaxAge = 10 * time.Minute
	// KeptSteps is how many steps before a trainer's newest are still kept.
	KeptSteps = 2
	// entryOverhead and spanOverhead estimate the memory of one sample besides
	// its strings: 703 B with one span, by BenchmarkHeldSample.
	entryOverhead = 640
	spanOverhead  = 64
)

// Sample is a finished sample.
type Sample struct {
	ID         *pb.SampleID
	Done       *pb.GenerateDone
	PromptHash string // label.RequestHash
}

// Key identifies a sample and is comparable.
type Key struct {
	Trainer string
	Step    uint64
	Group   string
	Index   uint32
}

// KeyOf returns the sample's key.
func KeyOf(id *pb.SampleID) Key {
	return Key{Trainer: id.GetTrainer(), Step: id.GetStep(), Group: id.GetGroup(), Index: id.GetIndex()}
}

// Config bounds a Store. Zero fields take the defaults.
type Config struct {
	MaxBytes int64
	MaxAge   time.Duration
	Now      func() time.Time
}

type stepKey struct {
	trainer string
	step    uint64
}

type entry struct {
	key     Key
	sample  Sample
	addedAt time.Time
	bytes   int64
}

// Store holds finished samples. It is safe for concurrent use.
type Store struct {
	cfg Config

	mu         sync.Mutex
	order      *list.List // of *entry, oldest first
	byKey      map[Key]*list.Element
	byStep     map[stepKey]map[Key]*list.Element
	newestStep map[string]uint64 // trainer -> newest step seen
	bytes      int64
}

// New returns an empty store.
func New(cfg Config) *Store {
	if cfg.MaxBytes <= 0 {
		cfg.MaxBytes = DefaultMaxBytes
	}
	if cfg.MaxAge <= 0 {
		cfg.MaxAge = DefaultMaxAge
	}
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	return &Store{
		cfg: cfg, order: list.New(),
		byKey:      map[Key]*list.Element{},
		byStep:     map[stepKey]map[Key]*list.Element{},
		newestStep: map[string]uint64{},
	}
}

// Put stores a sample and replaces one with the same key. It drops the oldest
// samples beyond the bounds, and ignores a sample that is larger than the whole
// store or belongs to an outdated step.
func (s *Store) Put(sample Sample) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := &entry{key: KeyOf(sample.ID), sample: sample, addedAt: s.cfg.Now(), bytes: sampleSize(sample)}
	if e.bytes > s.cfg.MaxBytes || s.isOutdated(e.key.Trainer, e.key.Step) {
		return
	}
	if old, ok := s.byKey[e.key]; ok {
		s.remove(old)
	}
	el := s.order.PushBack(e)
	s.byKey[e.key] = el
	sk := stepKey{e.key.Trainer, e.key.Step}
	if s.byStep[sk] == nil {
		s.byStep[sk] = map[Key]*list.Element{}
	}
	s.byStep[sk][e.key] = el
	s.bytes += e.bytes
	for s.bytes > s.cfg.MaxBytes {
		s.remove(s.order.Front())
	}
	s.expire()
}

// Step returns the samples held for a step.
func (s *Store) Step(trainer string, step uint64) []Sample {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	var out []Sample
	for _, el := range s.byStep[stepKey{trainer, step}] {
		out = append(out, el.Value.(*entry).sample)
	}
	return out
}

// ObserveStep records that a trainer works on a step, and drops the samples of
// outdated steps, which are finished. A step that is itself outdated means that
// the training run was restarted, so it becomes the newest.
func (s *Store) ObserveStep(trainer string, step uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if step <= s.newestStep[trainer] && !s.isOutdated(trainer, step) {
		return
	}
	s.newestStep[trainer] = step
	s.removeIf(func(e *entry) bool {
		return e.key.Trainer == trainer && s.isOutdated(trainer, e.key.Step)
	})
}

// DropBelow drops the trainer's samples that have a token of a version below the
// floor.
func (s *Store) DropBelow(trainer string, floor uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeIf(func(e *entry) bool {
		return e.key.Trainer == trainer && oldestVersion(e.sample.Done) < floor
	})
}

// Size returns the number of samples held and their estimated bytes.
func (s *Store) Size() (samples int, bytes int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.byKey), s.bytes
}

// isOutdated reports whether the step is more than KeptSteps before the
// trainer's newest.
func (s *Store) isOutdated(trainer string, step uint64) bool {
	return step+KeptSteps < s.newestStep[trainer]
}

func (s *Store) expire() {
	limit := s.cfg.Now().Add(-s.cfg.MaxAge)
	for el := s.order.Front(); el != nil && el.Value.(*entry).addedAt.Before(limit); el = s.order.Front() {
		s.remove(el)
	}
}

func (s *Store) removeIf(drop func(*entry) bool) {
	for el := s.order.Front(); el != nil; {
		next := el.Next()
		if drop(el.Value.(*entry)) {
			s.remove(el)
		}
		el = next
	}
}

func (s *Store) remove(el *list.Element) {
	e := s.order.Remove(el).(*entry)
	delete(s.byKey, e.key)
	sk := stepKey{e.key.Trainer, e.key.Step}
	delete(s.byStep[sk], e.key)
	if len(s.byStep[sk]) == 0 {
		delete(s.byStep, sk)
	}
	s.bytes -= e.bytes
}

// oldestVersion returns the version of the first span, which is the oldest:
// versions never decrease within a sample. It returns 0 without spans.
func oldestVersion(d *pb.GenerateDone) uint64 {
	if len(d.GetSpans()) == 0 {
		return 0
	}
	return d.GetSpans()[0].GetVersion()
}

func sampleSize(s Sample) int64 {
	stringBytes := len(s.Done.GetText()) + len(s.ID.GetTrainer()) + len(s.ID.GetGroup()) + len(s.PromptHash)
	return int64(stringBytes + entryOverhead + spanOverhead*len(s.Done.GetSpans()))
}
