// Package held keeps finished samples for a while after they were handed to
// their entry, so that a new owner of the step can take them over instead of
// generating them again when the entry dies. It is bounded in bytes and age;
// losing a sample from it costs tokens, never correctness.
package held

import (
	"container/list"
	"sync"
	"time"

	"dandelionsill.org/wire/pb"
)

const (
	// DefaultMaxBytes: a fleet step is 24 trainers * 2,048 samples over 1,500
	// servers, 33 samples of about 10 KB a server; this holds dozens of steps.
	DefaultMaxBytes = 16 << 20
	// DefaultMaxAge is two and a half times the longest step (4 min).
	DefaultMaxAge = 10 * time.Minute
	// KeptSteps is how many steps before a trainer's newest are still kept.
	KeptSteps = 2
	// entryOverhead stands for the bookkeeping of one sample; BenchmarkHeldSample
	// measured 703 B beside the text with one span.
	entryOverhead = 640
	spanOverhead  = 64
)

// Sample is a finished sample.
type Sample struct {
	ID         *pb.SampleID
	Done       *pb.GenerateDone
	PromptHash string // label.RequestHash
}

// Key names a sample by value.
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

// Put keeps a sample, in place of one with the same key.
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

// ObserveStep tells that a trainer works on a step; steps well before it are done and
// their samples are dropped. A step far behind the newest is a training run
// begun anew and counts from there.
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

// DropBelow drops the trainer's samples with a token from below the floor.
func (s *Store) DropBelow(trainer string, floor uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeIf(func(e *entry) bool {
		return e.key.Trainer == trainer && oldestVersion(e.sample.Done) < floor
	})
}

// Size returns the samples and bytes held.
func (s *Store) Size() (samples int, bytes int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.byKey), s.bytes
}

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
