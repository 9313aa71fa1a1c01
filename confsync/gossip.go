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

// Rumour mongering: whoever learns something tells spreadFanout random peers
// in each of spreadRounds rounds. A process misses all of 1,860·9 tellings
// with probability e^-9; anti-entropy finds it.
const (
	spreadFanout = 3
	spreadRounds = 3
	// peerSpreadDelay delays the first round for what came from a peer.
	peerSpreadDelay = 100 * time.Millisecond
	// logSpreadDelay does so for what came from the log: by then most peers
	// have it from there, too, and needn't be sent the manifest.
	logSpreadDelay = 500 * time.Millisecond
	// spreadInterval lies between rounds.
	spreadInterval = 300 * time.Millisecond
)

// Anti-entropy: how often a process compares with one random peer.
const (
	antiEntropyInterval = 2 * time.Second
	// isolatedAntiEntropyInterval holds while the log can't be read or nothing is known yet.
	isolatedAntiEntropyInterval = 400 * time.Millisecond
)

// Bounds of one exchange.
const (
	exchangeTimeout  = time.Second
	exchangeAttempts = 3 // peers tried for one exchange
	// failedPeerCooldown is how long a peer that failed isn't asked again. When regions
	// lose each other, the tries go to the peers that are left.
	failedPeerCooldown = 10 * time.Second
)

// Exchange answers a peer.
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

// spreadChanges tells peers of what is new here.
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

// spreadChange runs the rounds for one change. It returns true when something
// newer came meanwhile, which needs rounds of its own.
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

func (k *Keeper) firstSpreadDelay() time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.spreadDelay
}

// antiEntropy compares with a random peer now and then.
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

// exchangeWithRandomPeers exchanges with n random peers at once. Where one fails
// another takes its place, up to exchangeTries times.
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
	exchangeUntilAnswer(0) // anti-entropy, which runs for ever, starts no goroutine
	running.Wait()
}

// choosePeers picks up to n random peers, those that failed lately last.
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
	// Own address and failed peers may be among the draws: draw some more.
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

// exchange runs one exchange as the asker and pushes the revision if the peer
// turns out to be behind. It returns whether the peer answered.
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

func (k *Keeper) recordPeerFailure(addr string, err error) {
	exchangesFailed.Add(1)
	k.limitedLog.Debug("A peer does not answer.", zap.String("peer", addr), zap.Error(err))
	k.mu.Lock()
	defer k.mu.Unlock()
	k.excludedUntil[addr] = time.Now().Add(failedPeerCooldown)
}

func (k *Keeper) newRequest(push *pb.SignedRevision) *pb.ExchangeRequest {
	req := &pb.ExchangeRequest{Name: k.cfg.Name, Addr: k.cfg.Addr, Push: push, Versions: k.versionsNewerThan(nil)}
	if head := k.head(); head != nil {
		req.Revision, req.Hash = head.Number, head.Hash
	}
	return req
}

// versionsNewerThan lists the versions that are newer here than in the list.
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

// reportConflict finds two contents under one revision number. That can't come from
// one log; it means that a process reads another fleet's log.
func (k *Keeper) reportConflict(peer string, head *control.Revision, number uint64, hash string) {
	if head == nil || number != head.Number || hash == head.Hash {
		return
	}
	revisionsRefused.Add(1)
	k.limitedLog.Error("A peer has another content under our revision number.",
		zap.String("peer", peer), zap.Uint64("revision", number), zap.String("theirs", hash), zap.String("ours", head.Hash))
}
