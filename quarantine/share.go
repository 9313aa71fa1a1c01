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

// Times and sizes of telling peers.
const (
	// maxBatch is how many changes one call tells.
	maxBatch = 256
	// peerTimeout bounds a call to a peer, a few milliseconds away.
	peerTimeout = 400 * time.Millisecond
	// peerAttempts is how often a peer is told. With their pauses they cover some
	// seconds in which a peer is frozen or cut off, and a connection that went
	// silent is replaced by the second.
	peerAttempts   = 5
	peerRetryDelay = 250 * time.Millisecond
	// maxConcurrentCalls bounds the calls that are open at a time.
	maxConcurrentCalls = 64
	// sendInterval and tellPerPeer lie between two rounds: where a rack fails under load,
	// what all its requests lost is told in a few rounds.
	sendInterval        = 10 * time.Millisecond
	sendIntervalPerPeer = time.Millisecond
)

// Times of the store.
const (
	// readWait is how long a read waits at the store for a change, and so how long
	// one on a connection that went silent hears nothing. Peers tell sooner.
	readWait      = 5 * time.Second
	minRetryDelay = 100 * time.Millisecond
	// maxRetryDelay lets a process know within 2 s of an outage's end.
	maxRetryDelay = time.Second
	// readShare and writeShare of the reads that the store takes a second are what all
	// processes together read and write here. It takes fewer writes than reads.
	readShare  = 0.1
	writeShare = 0.02
	// expiringProcesses is how many processes have the store forget what is too old, in the mean.
	expiringProcesses = 3
)

// placeholderKey is a record that says nothing, and keeps reads waiting in a stream without
// any other.
const placeholderKey = "made"

// Peers are the other processes that keep a quarantine.
type Peers interface {
	// Addrs returns where they take calls.
	Addrs() []string
	// Send tells one of them what this process saw.
	Send(ctx context.Context, addr string, changes []Change) error
}

// sharing is how a process tells others and hears of them.
type sharing struct {
	store          platform.Keyed
	peers          Peers
	readsPerSecond float64
	sends          sync.WaitGroup
	callSlots      chan struct{}
}

// EnableSharing sets whom this process tells; it is called before Run. The store takes so many
// reads a second of all processes together; 0: not told.
func (q *Quarantine) EnableSharing(store platform.Keyed, peers Peers, readsPerSecond float64) {
	q.sharing.store, q.sharing.peers, q.sharing.readsPerSecond = store, peers, readsPerSecond
	q.sharing.callSlots = make(chan struct{}, maxConcurrentCalls)
}

// Initialized tells whether the store was asked once for what others saw. A process that takes
// requests before it knows would have each of the quarantined ones end servers again.
func (q *Quarantine) Initialized() bool { return q.initialized.Load() }

// Run tells others and hears of them until ctx ends.
func (q *Quarantine) Run(ctx context.Context) {
	var loops sync.WaitGroup
	loops.Go(func() { q.sendToPeers(ctx) })
	loops.Go(func() { q.writeToStore(ctx) })
	loops.Go(func() { q.followStore(ctx) })
	loops.Wait()
	q.sharing.sends.Wait()
}

// nextBatch waits for changes of a queue and takes them; nil: ctx has ended.
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

// sendToPeers tells all peers what is new here.
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

// sendToPeer tells one peer, again where it does not answer.
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
	q.log.Info("A peer was not told of servers' ends.", zap.String("addr", addr), zap.Error(err))
}

func (q *Quarantine) callPeer(ctx context.Context, addr string, changes []Change) error {
	q.sharing.callSlots <- struct{}{}
	defer func() { <-q.sharing.callSlots }()
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	return q.sharing.peers.Send(ctx, addr, changes)
}

// writeToStore writes what is new here.
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
		q.log.Warn("Servers' ends are not in the store yet.", zap.Int("changes", len(changes)), zap.Error(err))
		if !errors.Is(err, platform.ErrLogRefused) {
			q.requeue(changes)
		}
		sleep.For(ctx, sleep.Jitter(delay))
		delay = min(maxRetryDelay, 2*delay)
	}
}

func (q *Quarantine) requeue(changes []Change) {
	q.mu.Lock()
	defer q.mu.Unlock()
	newer := q.toStore.take(maxQueue)
	q.toStore.add(append(changes, newer...)...)
}

func (q *Quarantine) records(changes []Change) []platform.KeyedRecord {
	records := make([]platform.KeyedRecord, 0, len(changes))
	for i := range changes {
		r, err := changes[i].encode()
		if err != nil {
			q.log.Error("A server's end can't be encoded.", zap.Error(err))
			continue
		}
		records = append(records, r)
	}
	return records
}

// callInterval is the least time between two calls to the store, of whose reads a second all
// processes together take a share at most.
func (q *Quarantine) callInterval(share float64) time.Duration {
	if q.sharing.readsPerSecond <= 0 {
		return minRetryDelay
	}
	processes := float64(len(q.sharing.peers.Addrs()) + 1)
	return time.Duration(processes / (share * q.sharing.readsPerSecond) * float64(time.Second))
}

// followStore hears what others wrote.
func (q *Quarantine) followStore(ctx context.Context) {
	delay, disconnected := minRetryDelay, false
	for ctx.Err() == nil {
		records, next, err := q.sharing.store.Newest(ctx, platform.StreamCrashes)
		if err == nil {
			q.applyRecords(records)
		}
		q.initialized.Store(true) // a store that can't be asked must not keep a process from serving
		if err == nil {
			if disconnected {
				q.log.Info("Others' word in the store is read again.", zap.Int("records", len(records)))
			}
			delay, disconnected = minRetryDelay, false
			err = q.readChanges(ctx, next)
		}
		if ctx.Err() == nil && !disconnected {
			disconnected = true
			q.log.Warn("Lost others' word in the store; peers still tell.", zap.Error(err))
		}
		sleep.For(ctx, sleep.Jitter(delay))
		delay = min(maxRetryDelay, 2*delay)
	}
}

// readChanges reads what is written from an offset on until a read fails.
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
			// There is no such stream, and nothing to wait for in it.
			if streamMissing {
				q.createStream(ctx)
			}
			streamMissing, pause = true, sleep.Jitter(readWait/2)
		}
		sleep.For(ctx, pause-time.Since(startedAt))
	}
	return ctx.Err()
}

func (q *Quarantine) createStream(ctx context.Context) {
	if err := q.sharing.store.PutAll(ctx, platform.StreamCrashes, []platform.KeyedRecord{{Key: placeholderKey, Value: []byte("1")}}); err != nil {
		q.log.Info("The stream of servers' ends is not made yet.", zap.Error(err))
	}
}

func (q *Quarantine) applyRecords(records []platform.KeyedRecord) {
	changes := make([]Change, 0, len(records))
	for _, r := range records {
		if c, ok := decodeChange(r); ok {
			changes = append(changes, c)
		} else if r.Key != placeholderKey {
			q.log.Warn("A record of servers' ends can't be read.", zap.String("key", r.Key))
		}
	}
	if len(changes) > 0 {
		q.Apply("store", changes)
	}
}
