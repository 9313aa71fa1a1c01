package evidence

import "strings"

// bounded is a map of at most max values. A new key replaces one that was not used for
// long (second chance). Pointers to values are valid until the next call of ensure.
type bounded[V any] struct {
	max   int
	index map[string]int
	slots []slot[V]
	hand  int // next slot to consider for replacement
}

type slot[V any] struct {
	key   string
	used  bool // since the hand last passed
	value V
}

func newBounded[V any](limit int) *bounded[V] {
	return &bounded[V]{max: limit, index: map[string]int{}}
}

// find returns the value of a key, or nil.
func (b *bounded[V]) find(key string) *V {
	i, ok := b.index[key]
	if !ok {
		return nil
	}
	b.slots[i].used = true
	return &b.slots[i].value
}

// ensure returns the value of a key, which is new and zero if there was none.
func (b *bounded[V]) ensure(key string) *V {
	if v := b.find(key); v != nil {
		return v
	}
	// A key may be part of a much longer string.
	key = strings.Clone(key)
	if len(b.slots) < b.max {
		b.slots = append(b.slots, slot[V]{key: key})
		b.index[key] = len(b.slots) - 1
		return &b.slots[len(b.slots)-1].value
	}
	i := b.victim()
	delete(b.index, b.slots[i].key)
	b.slots[i] = slot[V]{key: key}
	b.index[key] = i
	return &b.slots[i].value
}

// victim returns the slot to replace.
func (b *bounded[V]) victim() int {
	for b.slots[b.hand].used {
		b.slots[b.hand].used = false
		b.hand = (b.hand + 1) % len(b.slots)
	}
	i := b.hand
	b.hand = (b.hand + 1) % len(b.slots)
	return i
}
