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
	// batchMost is how many changes one call tells.
	batchMost = 256
	// peerTimeout bounds a call to a peer, a few milliseconds away.
	peerTimeout = 400 * time.Millisecond
	// peerTries is how often a peer is told. With their pauses they cover some
	// seconds in which a peer is frozen or cut off, and a connection that went
	// silent is replaced by the second.
	peerTries = 5
	peerFirst = 250 * time.Millisecond
	// peersAtOnce bounds the calls that are open at a time.
	peersAtOnce = 64
	// tellGap and tellPerPeer lie between two rounds: where a rack fails under load,
	// what all its requests lost is told in a few rounds.
	tellGap     = 10 * time.Millisecond
	tellPerPeer = time.Millisecond
)

// Times of the store.
const (
	// followWait is how long a read waits at the store for a change, and so how long
	// one on a connection that went silent hears nothing. Peers tell sooner.
	followWait = 5 * time.Second
	retryFirst = 100 * time.Millisecond
	// retryMost lets a process know within 2 s of an outage's end.
	retryMost = time.Second
	// readShare and writeShare of the reads that the store takes a second are what all
	// processes together read and write here. It takes fewer writes than reads.
	readShare  = 0.1
	writeShare = 0.02
	// expirers is how many processes have the store forget what is too old, in the mean.
	expirers = 3
)

// keyMade is a record that says nothing, and keeps reads waiting in a stream without
// any other.
const keyMade = "made"

// Peers are the other processes that keep a quarantine.
type Peers interface {
	// Addrs returns where they take calls.
	Addrs() []string
	// Tell tells one of them what this process saw.
	Tell(ctx context.Context, addr string, changes []Change) error
}

// sharing is how a process tells others and hears of them.
type sharing struct {
	store     platform.Keyed
	peers     Peers
	readsPerS float64
	telling   sync.WaitGroup
	slots     chan struct{}
}

// Share sets whom this process tells; it is called before Run. The store takes so many
// reads a second of all processes together; 0: not told.
func (q *Quarantine) Share(store platform.Keyed, peers Peers, readsPerS float64) {
	q.sharing.store, q.sharing.peers, q.sharing.readsPerS = store, peers, readsPerS
	q.sharing.slots = make(chan struct{}, peersAtOnce)
}

// Known tells whether the store was asked once for what others saw. A process that takes
// requests before it knows would have each of the quarantined ones end servers again.
func (q *Quarantine) Known() bool { return q.known.Load() }

// Run tells others and hears of them until ctx ends.
func (q *Quarantine) Run(ctx context.Context) {
	var loops sync.WaitGroup
	loops.Go(func() { q.tellPeers(ctx) })
	loops.Go(func() { q.tellStore(ctx) })
	loops.Go(func() { q.follow(ctx) })
	loops.Wait()
	q.sharing.telling.Wait()
}

// next waits for changes of a queue and takes them; nil: ctx has ended.
func (q *Quarantine) next(ctx context.Context, from *queue) []Change {
	for {
		q.mu.Lock()
		taken := from.take(batchMost)
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

// tellPeers tells all peers what is new here.
func (q *Quarantine) tellPeers(ctx context.Context) {
	for ctx.Err() == nil {
		changes := q.next(ctx, &q.toPeers)
		if len(changes) == 0 {
			return
		}
		peers := q.sharing.peers.Addrs()
		for _, addr := range peers {
			q.sharing.telling.Go(func() { q.tellPeer(ctx, addr, changes) })
		}
		sleep.For(ctx, tellGap+time.Duration(len(peers))*tellPerPeer)
	}
}

// tellPeer tells one peer, again where it does not answer.
func (q *Quarantine) tellPeer(ctx context.Context, addr string, changes []Change) {
	pause := peerFirst
	var err error
	for range peerTries {
		if err = q.tellOnce(ctx, addr, changes); err == nil {
			return
		}
		if !sleep.For(ctx, sleep.Jitter(pause)) {
			return
		}
		pause *= 2
	}
	peersNotTold.Add(1)
	q.log.Info("A peer was not told of servers' ends.", zap.String("addr", addr), zap.Error(err))
}

func (q *Quarantine) tellOnce(ctx context.Context, addr string, changes []Change) error {
	q.sharing.slots <- struct{}{}
	defer func() { <-q.sharing.slots }()
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	return q.sharing.peers.Tell(ctx, addr, changes)
}

// tellStore writes what is new here.
func (q *Quarantine) tellStore(ctx context.Context) {
	delay := retryFirst
	for ctx.Err() == nil {
		changes := q.next(ctx, &q.toStore)
		if len(changes) == 0 {
			return
		}
		err := q.sharing.store.PutAll(ctx, platform.StreamCrashes, q.records(changes))
		if err == nil {
			delay = retryFirst
			sleep.For(ctx, q.pace(writeShare))
			continue
		}
		q.log.Warn("Servers' ends are not in the store yet.", zap.Int("changes", len(changes)), zap.Error(err))
		if !errors.Is(err, platform.ErrLogRefused) {
			q.putBack(changes)
		}
		sleep.For(ctx, sleep.Jitter(delay))
		delay = min(retryMost, 2*delay)
	}
}

func (q *Quarantine) putBack(changes []Change) {
	q.mu.Lock()
	defer q.mu.Unlock()
	newer := q.toStore.take(queueMost)
	q.toStore.add(append(changes, newer...)...)
}

func (q *Quarantine) records(changes []Change) []platform.KeyedRecord {
	records := make([]platform.KeyedRecord, 0, len(changes))
	for i := range changes {
		r, err := changes[i].record()
		if err != nil {
			q.log.Error("A server's end can't be encoded.", zap.Error(err))
			continue
		}
		records = append(records, r)
	}
	return records
}

// pace is the least time between two calls to the store, of whose reads a second all
// processes together take a share at most.
func (q *Quarantine) pace(share float64) time.Duration {
	if q.sharing.readsPerS <= 0 {
		return retryFirst
	}
	processes := float64(len(q.sharing.peers.Addrs()) + 1)
	return time.Duration(processes / (share * q.sharing.readsPerS) * float64(time.Second))
}

// follow hears what others wrote.
func (q *Quarantine) follow(ctx context.Context) {
	delay, lost := retryFirst, false
	for ctx.Err() == nil {
		records, next, err := q.sharing.store.Newest(ctx, platform.StreamCrashes)
		if err == nil {
			q.heard(records)
		}
		q.known.Store(true) // a store that can't be asked must not keep a process from serving
		if err == nil {
			if lost {
				q.log.Info("Others' word in the store is read again.", zap.Int("records", len(records)))
			}
			delay, lost = retryFirst, false
			err = q.tail(ctx, next)
		}
		if ctx.Err() == nil && !lost {
			lost = true
			q.log.Warn("Lost others' word in the store; peers still tell.", zap.Error(err))
		}
		sleep.For(ctx, sleep.Jitter(delay))
		delay = min(retryMost, 2*delay)
	}
}

// tail reads what is written from an offset on until a read fails.
func (q *Quarantine) tail(ctx context.Context, next uint64) error {
	missing := false
	for ctx.Err() == nil {
		begun := time.Now()
		records, end, err := q.sharing.store.ReadKeyed(ctx, platform.StreamCrashes, next, followWait)
		if err != nil {
			return errors.Trace(err)
		}
		next = end
		q.heard(records)
		q.expire(rand.N(len(q.sharing.peers.Addrs())+1) < expirers)
		pause := q.pace(readShare)
		if early := time.Since(begun) < followWait/2; early && len(records) == 0 {
			// There is no such stream, and nothing to wait for in it.
			if missing {
				q.make(ctx)
			}
			missing, pause = true, sleep.Jitter(followWait/2)
		}
		sleep.For(ctx, pause-time.Since(begun))
	}
	return ctx.Err()
}

func (q *Quarantine) make(ctx context.Context) {
	if err := q.sharing.store.PutAll(ctx, platform.StreamCrashes, []platform.KeyedRecord{{Key: keyMade, Value: []byte("1")}}); err != nil {
		q.log.Info("The stream of servers' ends is not made yet.", zap.Error(err))
	}
}

func (q *Quarantine) heard(records []platform.KeyedRecord) {
	changes := make([]Change, 0, len(records))
	for _, r := range records {
		if c, ok := fromRecord(r); ok {
			changes = append(changes, c)
		} else if r.Key != keyMade {
			q.log.Warn("A record of servers' ends can't be read.", zap.String("key", r.Key))
		}
	}
	if len(changes) > 0 {
		q.Apply("store", changes)
	}
}
