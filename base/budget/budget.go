// Package budget bounds the bytes that a process holds for others. A Budget is divided into Shares,
// one for each use. Each Share has a guaranteed part, which no other use can take; what is not
// guaranteed to any Share is common to all of them.
package budget

import (
	"math"
	"sync"

	"dandelionsill.org/base/metrics"
)

// Budget is a number of bytes. A nil *Budget bounds nothing. It is safe for concurrent use.
type Budget struct {
	total int64

	mu     sync.Mutex
	common int64 // unused bytes that are not guaranteed to any share; negative: a large reservation has more
	shares []*Share
}

// New returns a budget of total bytes, without shares.
func New(total int64) *Budget {
	total = max(0, total)
	return &Budget{total: total, common: total}
}

// Share is one use of a budget. A nil *Share bounds nothing and counts nothing. It is safe for
// concurrent use.
type Share struct {
	budget     *Budget
	name       string
	guaranteed int64

	// The mutex of budget guards these.
	inUse, peak, refused int64
}

// Parts of a VM's memory.
const (
	// vmPart is the part that may be filled with what a process holds for others. Most of it may be there twice for a moment,
	// as a decoded job beside its body or in the kernel's buffers, and the collector lets the heap grow by a quarter: together
	// three quarters of the memory. The last quarter is for the runtime, the tables and the batch jobs.
	vmPart = 0.3
	// memoryPerByte is how many bytes of memory a byte that is held can take, as above.
	memoryPerByte = 2.5
	// idleBytes is the memory of a process that holds nothing. On a small VM it is more than a quarter.
	idleBytes = 28e6
	// leastPart is the part that may be filled on the smallest VMs.
	leastPart = 0.1
)

// ForVM returns the budget of a process on a VM with memoryMB of memory; nil if that is 0, not known.
func ForVM(memoryMB float64) *Budget {
	if memoryMB <= 0 {
		return nil
	}
	memory := memoryMB * 1e6
	return New(int64(min(vmPart*memory, max(leastPart*memory, (memory-idleBytes)/memoryPerByte))))
}

// Total returns the number of bytes of the budget.
func (b *Budget) Total() int64 { return b.total }

// Share adds a share with a guaranteed number of bytes, which is cut to what no share has been
// guaranteed yet. All shares must be added before the first use.
func (b *Budget) Share(name string, guaranteed int64) *Share {
	if b == nil {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	s := &Share{budget: b, name: name, guaranteed: min(max(0, guaranteed), b.common)}
	b.common -= s.guaranteed
	b.shares = append(b.shares, s)
	return s
}

// Acquire takes n bytes, or none and returns false if neither the guaranteed part nor the common
// rest has room for them. n must not be negative.
func (s *Share) Acquire(n int64) bool {
	if s == nil {
		return true
	}
	b := s.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	fromCommon := s.beyondGuarantee(s.inUse+n) - s.beyondGuarantee(s.inUse)
	if fromCommon > max(0, b.common) {
		s.refused++
		return false
	}
	s.take(n, fromCommon)
	return true
}

// take takes n bytes, some of them from the common rest; the budget's mutex is held.
func (s *Share) take(n, fromCommon int64) {
	s.budget.common -= fromCommon
	s.inUse += n
	s.peak = max(s.peak, s.inUse)
}

// acquireLarge takes n bytes for a reservation that has own bytes already. If that is more than the share
// can ever get by Acquire, it takes what no share uses, guaranteed to others or not.
func (s *Share) acquireLarge(n, own int64) bool {
	if s == nil || own+n <= s.budget.total-s.guaranteedToOthers() {
		return s.Acquire(n)
	}
	most := s.Most()
	b := s.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	unused := b.total
	for _, share := range b.shares {
		unused -= share.inUse
	}
	if n > unused || s.inUse+n > most {
		s.refused++
		return false
	}
	s.take(n, s.beyondGuarantee(s.inUse+n)-s.beyondGuarantee(s.inUse))
	return true
}

// Most returns the most that one reservation can have by GrowLarge: all but half of what is guaranteed to other
// shares. By that half the budget can be exceeded, if they want their part meanwhile.
func (s *Share) Most() int64 {
	if s == nil {
		return math.MaxInt64
	}
	return s.budget.total - (s.guaranteedToOthers()+1)/2
}

// guaranteedToOthers returns how many bytes this share can't get by Acquire.
func (s *Share) guaranteedToOthers() int64 {
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	others := -s.guaranteed
	for _, share := range s.budget.shares {
		others += share.guaranteed
	}
	return others
}

// Release returns n bytes, which must have been acquired.
func (s *Share) Release(n int64) {
	if s == nil {
		return
	}
	b := s.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if n > s.inUse {
		panic("budget: more bytes released than acquired") // would let the process hold more than its budget
	}
	b.common += s.beyondGuarantee(s.inUse) - s.beyondGuarantee(s.inUse-n)
	s.inUse -= n
}

// Guaranteed returns the number of bytes that no other share can take.
func (s *Share) Guaranteed() int64 { return s.guaranteed }

// beyondGuarantee returns how many of the bytes in use come from the common rest.
func (s *Share) beyondGuarantee(inUse int64) int64 { return max(0, inUse-s.guaranteed) }

// InUse returns the number of bytes in use.
func (s *Share) InUse() int64 {
	if s == nil {
		return 0
	}
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	return s.inUse
}

// Reservation is the bytes that one request has taken from a share. The zero value has no share and
// grows without bound. It must not be copied while it is in use, nor used concurrently.
type Reservation struct {
	share *Share
	bytes int64
}

// Reserve returns a reservation without bytes.
func (s *Share) Reserve() Reservation { return Reservation{share: s} }

// Grow takes n more bytes, or none and returns false if the share has no room for them.
func (r *Reservation) Grow(n int64) bool {
	if !r.share.Acquire(n) {
		return false
	}
	r.bytes += n
	return true
}

// GrowLarge is like Grow, but if the reservation becomes larger than its share can get, it takes also what is
// guaranteed to other shares and not in use, up to Most.
func (r *Reservation) GrowLarge(n int64) bool {
	if !r.share.acquireLarge(n, r.bytes) {
		return false
	}
	r.bytes += n
	return true
}

// Bytes returns how many bytes the reservation has.
func (r *Reservation) Bytes() int64 { return r.bytes }

// Release returns all bytes of the reservation to the share. Further calls do nothing.
func (r *Reservation) Release() {
	r.share.Release(r.bytes)
	r.bytes = 0
}

// Publish publishes the metrics of the budget's shares, each by the name of the share.
func (b *Budget) Publish() {
	if b == nil {
		return
	}
	metrics.Gauge("budget_in_use_bytes", func() any { return b.collect(func(s *Share) int64 { return s.inUse }) })
	metrics.Gauge("budget_peak_bytes", func() any { return b.collect(func(s *Share) int64 { return s.peak }) })
	metrics.Gauge("budget_refused_total", func() any { return b.collect(func(s *Share) int64 { return s.refused }) })
	metrics.Gauge("budget_total_bytes", func() any { return b.total })
}

// collect returns a value of each share by the share's name.
func (b *Budget) collect(value func(*Share) int64) map[string]int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	values := make(map[string]int64, len(b.shares))
	for _, s := range b.shares {
		values[s.name] = value(s)
	}
	return values
}
