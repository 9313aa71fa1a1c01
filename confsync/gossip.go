package confsync

import (
	"context"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"go.uber.org/zap"

	"dandelionsill.org/base/sleep"
	"dandelionsill.org/fold/control"
	"dandelionsill.org/wire/pb"
)

// Rumor mongering: a process that learns of a change sends it to spreadFanout
// random peers in each of spreadRounds rounds. With 1,860 processes that each
// send it 9 times, a process receives none of these messages with probability
// e^-9; anti-entropy then repairs it.
const (
	spreadFanout = 3
	spreadRounds = 3
	// peerSpreadDelay is the delay of the first round after a change from a peer
	// or from an announcement in this process.
	peerSpreadDelay = 100 * time.Millisecond
	// logSpreadDelay is the delay of the first round after a change from the log.
	// By then most peers have read it from the log, too, and need not be sent the
	// manifest.
	logSpreadDelay = 500 * time.Millisecond
	// spreadInterval is the time between rounds.
	spreadInterval = 300 * time.Millisecond
)

// Anti-entropy: how often a process compares its state with one random peer.
const (
	antiEntropyInterval = 2 * time.Second
	// isolatedAntiEntropyInterval is used while the log can't be read or no
	// revision is known yet.
	isolatedAntiEntropyInterval = 400 * time.Millisecond
)

// Bounds of one exchange.
const (
	exchangeTimeout  = time.Second
	exchangeAttempts = 3 // peers tried for one exchange
	// failedPeerCooldown is how long a peer that failed is avoided. When regions
	// are partitioned from each other, exchanges so go to reachable peers.
	failedPeerCooldown = 10 * time.Second
)

// Exchange takes over what is newer at the peer and replies with what is newer
// here. It includes the revision only if the peer's is older and the peer does
// not push that one. It never fails.
func (k *Keeper) Exchange(_ context.Context, req *pb.ExchangeRequest) (*pb.ExchangeReply, error) {
	exchangesIn.Add(1)
	k.mergeVersions(req.Versions)
	k.offerRevision(req.Name, req.Push)
	head := k.head()
	reply := &pb.ExchangeReply{Name: k.cfg.Name, Versions: k.versionsNewerThan(req.Versions)}
	if head != nil {
		reply.Revision, reply.Hash = head.Number, head.Hash
		if req.Revision < head.Number && (req.Push == nil || req.Push.Number < head.Number) {
			reply.Newer = head.Signed
		}
	}
	k.reportConflict(req.Name, head, req.Revision, req.Hash)
	exchangeBytes.Add(int64(proto.Size(req) + proto.Size(reply)))
	return reply, nil
}

// spreadChanges sends each change of the state to peers until ctx is done.
func (k *Keeper) spreadChanges(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-k.spreadSignal:
		}
		for k.spreadChange(ctx) {
		}
	}
}

// spreadChange runs the rounds for one change. It returns true if another change
// came meanwhile, for which the rounds must start again.
func (k *Keeper) spreadChange(ctx context.Context) bool {
	pause := k.random.jitter(k.firstSpreadDelay())
	for range spreadRounds {
		timer := time.NewTimer(pause)
		select {
		case <-ctx.Done():
			timer.Stop()
			return false
		case <-k.spreadSignal:
			timer.Stop()
			return true
		case <-timer.C:
		}
		k.exchangeWithRandomPeers(ctx, spreadFanout)
		pause = k.random.jitter(spreadInterval)
	}
	return false
}

// firstSpreadDelay returns the delay before the first round for the newest change.
func (k *Keeper) firstSpreadDelay() time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.spreadDelay
}

// antiEntropy exchanges the state with one random peer at a time until ctx is
// done.
func (k *Keeper) antiEntropy(ctx context.Context) {
	for {
		k.exchangeWithRandomPeers(ctx, 1)
		pause := isolatedAntiEntropyInterval
		if k.isLogReachable() && k.head() != nil {
			pause = antiEntropyInterval
		}
		if !sleep.For(ctx, k.random.jitter(pause)) {
			return
		}
	}
}

// exchangeWithRandomPeers exchanges with n random peers concurrently. In place
// of a peer that fails it tries another one, up to exchangeAttempts peers per
// exchange.
func (k *Keeper) exchangeWithRandomPeers(ctx context.Context, n int) {
	candidates := k.choosePeers(n * exchangeAttempts)
	n = min(n, len(candidates))
	if n == 0 {
		return
	}
	exchangeUntilAnswer := func(first int) {
		for j := first; j < len(candidates) && ctx.Err() == nil; j += n {
			if k.exchange(ctx, candidates[j]) {
				return
			}
		}
	}
	var running sync.WaitGroup
	for i := 1; i < n; i++ {
		running.Go(func() { exchangeUntilAnswer(i) })
	}
	exchangeUntilAnswer(0) // on this goroutine, so that anti-entropy, which runs all the time, starts none
	running.Wait()
}

// choosePeers returns up to n random peers; those that failed recently come
// last.
func (k *Keeper) choosePeers(n int) []string {
	all := k.cfg.Peers()
	now := time.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	for addr, until := range k.excludedUntil {
		if now.After(until) {
			delete(k.excludedUntil, addr)
		}
	}
	var preferred, excluded []string
	// The draw may contain this process and failed peers, so draw more than n.
	for _, i := range k.random.pick(n+len(k.excludedUntil)+1, len(all)) {
		switch addr := all[i]; {
		case addr == k.cfg.Addr:
		case k.excludedUntil[addr].IsZero():
			preferred = append(preferred, addr)
		default:
			excluded = append(excluded, addr)
		}
	}
	chosen := append(preferred, excluded...)
	return chosen[:min(n, len(chosen))]
}

// exchange sends one exchange to a peer and applies the reply. If the peer's
// revision is older it pushes this process's revision in a second exchange. It
// reports whether the peer answered.
func (k *Keeper) exchange(ctx context.Context, addr string) bool {
	reply, ok := k.sendExchange(ctx, addr, nil)
	if !ok {
		return false
	}
	k.offerRevision(reply.Name, reply.Newer)
	k.mergeVersions(reply.Versions)
	head := k.head()
	k.reportConflict(reply.Name, head, reply.Revision, reply.Hash)
	if head != nil && reply.Revision < head.Number {
		revisionsPushed.Add(1)
		_, ok = k.sendExchange(ctx, addr, head.Signed)
	}
	return ok
}

// sendExchange sends one exchange, with a revision to push or nil. It reports
// whether the peer answered.
func (k *Keeper) sendExchange(ctx context.Context, addr string, push *pb.SignedRevision) (*pb.ExchangeReply, bool) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	req := k.newRequest(push)
	exchangesOut.Add(1)
	reply, err := k.peers.exchange(ctx, addr, req)
	if err != nil {
		k.recordPeerFailure(addr, err)
		return nil, false
	}
	exchangeBytes.Add(int64(proto.Size(req) + proto.Size(reply)))
	return reply, true
}

// recordPeerFailure counts a failed exchange and avoids the peer for
// failedPeerCooldown.
func (k *Keeper) recordPeerFailure(addr string, err error) {
	exchangesFailed.Add(1)
	k.limitedLog.Debug("A peer does not answer.", zap.String("peer", addr), zap.Error(err))
	k.mu.Lock()
	defer k.mu.Unlock()
	k.excludedUntil[addr] = time.Now().Add(failedPeerCooldown)
}

// newRequest returns the request that describes this process's state.
func (k *Keeper) newRequest(push *pb.SignedRevision) *pb.ExchangeRequest {
	req := &pb.ExchangeRequest{Name: k.cfg.Name, Addr: k.cfg.Addr, Push: push, Versions: k.versionsNewerThan(nil)}
	if head := k.head(); head != nil {
		req.Revision, req.Hash = head.Number, head.Hash
	}
	return req
}

// versionsNewerThan returns the weight versions that are newer here than at the
// peer.
func (k *Keeper) versionsNewerThan(peerVersions []*pb.ModelVersion) []*pb.ModelVersion {
	known := make(map[string]uint64, len(peerVersions))
	for _, v := range peerVersions {
		known[v.Model] = v.Version
	}
	var newer []*pb.ModelVersion
	for model, version := range k.View().Versions {
		if version > known[model] {
			newer = append(newer, &pb.ModelVersion{Model: model, Version: version})
		}
	}
	return newer
}

// reportConflict logs if a peer has this process's revision number with another
// hash. Both can't come from the same log: one of the processes reads another
// fleet's log.
func (k *Keeper) reportConflict(peer string, head *control.Revision, number uint64, hash string) {
	if head == nil || number != head.Number || hash == head.Hash {
		return
	}
	revisionsRefused.Add(1)
	k.limitedLog.Error("A peer has different content for the same revision number.",
		zap.String("peer", peer), zap.Uint64("revision", number), zap.String("theirs", hash), zap.String("ours", head.Hash))
}
