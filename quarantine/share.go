package quarantine

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"dandelionsill.org/base/sleep"
	"dandelionsill.org/platform"
)

// Limits and times of calls to peers.
const (
	// maxBatch is the maximum number of changes of one call or write.
	maxBatch = 256
	// peerTimeout is the timeout of a call to a peer, which is a few milliseconds away.
	peerTimeout = 400 * time.Millisecond
	// peerAttempts is the maximum number of attempts to call a peer. With the delays
	// between them they last for some seconds in which a peer may be suspended or
	// unreachable. The second attempt replaces an unresponsive connection.
	peerAttempts   = 5
	peerRetryDelay = 250 * time.Millisecond
	// maxConcurrentCalls is the maximum number of open calls to peers.
	maxConcurrentCalls = 64
	// sendInterval, plus sendIntervalPerPeer for each peer, is the pause between two rounds
	// of calls, so that the many crashes of a rack that fails under load are sent in a few
	// rounds.
	sendInterval        = 10 * time.Millisecond
	sendIntervalPerPeer = time.Millisecond
)

// Limits and times of calls to the store.
const (
	// readWait is how long a read waits at the store for a change. An unresponsive
	// connection delays changes from the store by as much; peers send them sooner.
	readWait      = 5 * time.Second
	minRetryDelay = 100 * time.Millisecond
	// maxRetryDelay is short enough for a process to read the store within 2 s after an
	// outage.
	maxRetryDelay = time.Second
	// readShare and writeShare are the shares of the store's reads per second that the
	// reads and the writes of all processes together may take here. The store accepts
	// fewer writes than reads.
	readShare  = 0.1
	writeShare = 0.02
	// expiringProcesses is how many processes, on average, remove expired crashes from the
	// store.
	expiringProcesses = 3
)

// placeholderKey is the key of a record that holds no crash. A read waits for changes only in a
// stream that has a record, and this one is written if there is no other.
const placeholderKey = "made"

// Peers sends changes to the other processes that have a quarantine.
type Peers interface {
	// Addrs returns the addresses of the peers.
	Addrs() []string
	// Send sends changes to the peer at addr.
	Send(ctx context.Context, addr string, changes []Change) error
}

// sharing holds what a process needs to exchange changes with other processes.
type sharing struct {
	store platform.KeyedStore
	// keepsKeys: the store's complete list contains each crash that was not removed. A log without
	// keys also lacks those whose records it no longer keeps.
	keepsKeys      bool
	peers          Peers
	readsPerSecond float64
	sends          sync.WaitGroup
	callSlots      chan struct{}
}

// EnableSharing sets the store and the peers to exchange changes with. It must be called
// before Run. readsPerSecond is how many reads the store accepts per second from all
// processes together; 0: unknown.
func (q *Quarantine) EnableSharing(store platform.KeyedStore, peers Peers, readsPerSecond float64) {
	q.sharing.store, q.sharing.peers, q.sharing.readsPerSecond = store, peers, readsPerSecond
	_, isLog := store.(*logStore)
	q.sharing.keepsKeys = !isLog
	q.sharing.callSlots = make(chan struct{}, maxConcurrentCalls)
}

// Initialized reports whether the store has been read once, successfully or not. If a process
// accepted requests before that, each quarantined request could crash servers again.
func (q *Quarantine) Initialized() bool { return q.initialized.Load() }

// Run exchanges changes with the peers and the store until ctx is cancelled.
func (q *Quarantine) Run(ctx context.Context) {
	var loops sync.WaitGroup
	loops.Go(func() { q.sendToPeers(ctx) })
	loops.Go(func() { q.writeToStore(ctx) })
	loops.Go(func() { q.followStore(ctx) })
	loops.Wait()
	q.sharing.sends.Wait()
}

// nextBatch waits for changes in a queue and takes them; nil: ctx was cancelled.
func (q *Quarantine) nextBatch(ctx context.Context, from *queue) []Change {
	for {
		q.mu.Lock()
		taken := from.take(maxBatch)
		q.mu.Unlock()
		if len(taken) > 0 {
			return taken
		}
		select {
		case <-ctx.Done():
			return nil
		case <-from.wake:
		}
	}
}

// sendToPeers sends queued changes to all peers until ctx is cancelled.
func (q *Quarantine) sendToPeers(ctx context.Context) {
	for ctx.Err() == nil {
		changes := q.nextBatch(ctx, &q.toPeers)
		if len(changes) == 0 {
			return
		}
		peers := q.sharing.peers.Addrs()
		for _, addr := range peers {
			q.sharing.sends.Go(func() { q.sendToPeer(ctx, addr, changes) })
		}
		sleep.For(ctx, sendInterval+time.Duration(len(peers))*sendIntervalPerPeer)
	}
}

// sendToPeer sends changes to one peer and retries failed calls.
func (q *Quarantine) sendToPeer(ctx context.Context, addr string, changes []Change) {
	pause := peerRetryDelay
	var err error
	for range peerAttempts {
		if err = q.callPeer(ctx, addr, changes); err == nil {
			return
		}
		if !sleep.For(ctx, sleep.Jitter(pause)) {
			return
		}
		pause *= 2
	}
	failedSends.Add(1)
	q.log.Info("Failed to send crashes to a peer.", zap.String("addr", addr), zap.Error(err))
}

// callPeer makes one call to a peer, once a call slot is free.
func (q *Quarantine) callPeer(ctx context.Context, addr string, changes []Change) error {
	q.sharing.callSlots <- struct{}{}
	defer func() { <-q.sharing.callSlots }()
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	return q.sharing.peers.Send(ctx, addr, changes)
}

// writeToStore writes queued changes to the store until ctx is cancelled.
func (q *Quarantine) writeToStore(ctx context.Context) {
	delay := minRetryDelay
	for ctx.Err() == nil {
		changes := q.nextBatch(ctx, &q.toStore)
		if len(changes) == 0 {
			return
		}
		err := q.sharing.store.PutAll(ctx, platform.StreamCrashes, q.records(changes))
		if err == nil {
			delay = minRetryDelay
			sleep.For(ctx, q.callInterval(writeShare))
			continue
		}
		q.log.Warn("Failed to write crashes to the store.", zap.Int("changes", len(changes)), zap.Error(err))
		if !errors.Is(err, platform.ErrLogRefused) {
			q.requeue(changes)
		}
		sleep.For(ctx, sleep.Jitter(delay))
		delay = min(maxRetryDelay, 2*delay)
	}
}

// requeue puts changes back at the head of the queue for the store.
func (q *Quarantine) requeue(changes []Change) {
	q.mu.Lock()
	defer q.mu.Unlock()
	newer := q.toStore.take(maxQueue)
	q.toStore.add(append(changes, newer...)...)
}

// records returns the records of changes.
func (q *Quarantine) records(changes []Change) []platform.KeyedRecord {
	records := make([]platform.KeyedRecord, 0, len(changes))
	for i := range changes {
		r, err := changes[i].encode()
		if err != nil {
			q.log.Error("Failed to encode a crash.", zap.Error(err))
			continue
		}
		records = append(records, r)
	}
	return records
}

// callInterval returns the minimum time between two calls of this process to the store, so
// that all processes together use at most a share of the store's reads per second.
func (q *Quarantine) callInterval(share float64) time.Duration {
	if q.sharing.readsPerSecond <= 0 {
		return minRetryDelay
	}
	processes := float64(len(q.sharing.peers.Addrs()) + 1)
	return time.Duration(processes / (share * q.sharing.readsPerSecond) * float64(time.Second))
}

// followStore applies the changes that other processes write to the store until ctx is
// cancelled.
func (q *Quarantine) followStore(ctx context.Context) {
	delay, disconnected := minRetryDelay, false
	for ctx.Err() == nil {
		records, next, err := q.sharing.store.Newest(ctx, platform.StreamCrashes)
		if err == nil {
			q.applyList(records)
		}
		q.initialized.Store(true) // an unavailable store must not keep a process from serving
		if err == nil {
			if disconnected {
				q.log.Info("Crashes can be read from the store again.", zap.Int("records", len(records)))
			}
			delay, disconnected = minRetryDelay, false
			err = q.readChanges(ctx, next)
		}
		if ctx.Err() == nil && !disconnected {
			disconnected = true
			q.log.Warn("Failed to read crashes from the store; peers still send them.", zap.Error(err))
		}
		sleep.For(ctx, sleep.Jitter(delay))
		delay = min(maxRetryDelay, 2*delay)
	}
}

// readChanges applies the changes in the store from an offset on until a read fails.
func (q *Quarantine) readChanges(ctx context.Context, next uint64) error {
	streamMissing := false
	for ctx.Err() == nil {
		startedAt := time.Now()
		records, end, err := q.sharing.store.ReadKeyed(ctx, platform.StreamCrashes, next, readWait)
		if err != nil {
			return errors.Trace(err)
		}
		next = end
		q.applyRecords(records)
		q.expire(rand.N(len(q.sharing.peers.Addrs())+1) < expiringProcesses)
		pause := q.callInterval(readShare)
		if early := time.Since(startedAt) < readWait/2; early && len(records) == 0 {
			// The stream does not exist yet, so that the read did not wait.
			if streamMissing {
				q.createStream(ctx)
			}
			streamMissing, pause = true, sleep.Jitter(readWait/2)
		}
		sleep.For(ctx, pause-time.Since(startedAt))
	}
	return ctx.Err()
}

// createStream creates the stream of crashes by writing a placeholder record.
func (q *Quarantine) createStream(ctx context.Context) {
	if err := q.sharing.store.PutAll(ctx, platform.StreamCrashes, []platform.KeyedRecord{{Key: placeholderKey, Value: []byte("1")}}); err != nil {
		q.log.Info("Failed to create the stream of crashes.", zap.Error(err))
	}
}

// applyList applies the complete list of the records in the store.
func (q *Quarantine) applyList(records []platform.KeyedRecord) {
	if list := q.applyRecords(records); q.sharing.keepsKeys {
		q.removeUnlisted(list)
	}
}

// applyRecords applies records from the store and returns their changes. It skips those that can't be
// decoded.
func (q *Quarantine) applyRecords(records []platform.KeyedRecord) []Change {
	changes := make([]Change, 0, len(records))
	for _, r := range records {
		if c, ok := decodeChange(r); ok {
			changes = append(changes, c)
		} else if r.Key != placeholderKey {
			q.log.Warn("Cannot decode a record of a crash from the store.", zap.String("key", r.Key))
		}
	}
	if len(changes) > 0 {
		q.recordStored(changes)
		q.Apply("store", changes)
	}
	return changes
}
