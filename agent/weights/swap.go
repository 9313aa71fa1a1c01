package weights

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"dandelionsill.org/platform"
)

const (
	stateReadTimeout    = 2 * time.Second
	loadingPollInterval = 50 * time.Millisecond
	// incompleteRetryDelay is the delay after an order whose body the engine
	// never received completely. Nothing is served while an order runs, so it
	// is not repeated soon.
	incompleteRetryDelay = time.Minute
	// swapSmoothing is the weight of the newest measurement in the smoothed
	// swap time.
	swapSmoothing = 0.5
)

// Values of platform.EngineState.State.
const (
	stateServing = "serving"
	stateLoading = "loading"
)

// runState is the state that the goroutine of Run keeps between steps.
type runState struct {
	unanswered      int
	boot            string // boot id of the last read-back
	reportedVersion uint64 // version that the last read-back showed on boot; 0 means none
	failed          bool   // the last order on boot failed; only a verified order clears it
	everVerified    bool   // a version was verified on this boot before
	mustRenewToken  bool   // an order of unknown outcome may still reach the engine
	retryDelay      time.Duration
	retryAt         time.Time
	pending         pendingVersions
	swapAt          time.Time // time of the next swap; zero if none is scheduled
	polledAt        time.Time
	storeVersion    uint64 // newest version that the store reported
	swapTime        time.Duration
}

// step reads the engine back and gives an order if one is due. It returns how
// long to wait before the next step.
func (k *Keeper) step(ctx context.Context) time.Duration {
	if k.claim.isSuperseded() {
		return k.cfg.ReadBackInterval
	}
	st, err := k.readBack(ctx)
	if err != nil {
		k.recordUnanswered(err)
		return k.cfg.ReadBackInterval
	}
	k.evaluate(ctx, st)
	target := k.target(ctx)
	k.copies.rates.observe()
	k.recordTarget(target)
	k.copies.dropUnneeded(k.verified.Load().serving)
	if k.verified.Load().serving == 0 && target != 0 && !k.state.failed {
		target = k.copies.fallbackVersion(target)
	}
	if !k.needsOrder(target, st) {
		k.unscheduleSwap()
		return k.cfg.ReadBackInterval
	}
	k.copies.startFetch(ctx, target, k.shouldLoadOlder)
	w := k.copies.bestToLoad(target, k.verified.Load().serving)
	if w == nil {
		return k.cfg.ReadBackInterval
	}
	if wait := k.swapDelay(w); wait > 0 {
		return min(wait, k.cfg.ReadBackInterval)
	}
	if err := k.order(ctx, w); err != nil {
		k.backOff(err)
	}
	return 0
}

func (k *Keeper) readBack(ctx context.Context) (platform.EngineState, error) {
	ctx, cancel := context.WithTimeout(ctx, stateReadTimeout)
	defer cancel()
	return k.cfg.Engine.State(ctx)
}

// recordUnanswered counts a failed read-back. One lost answer proves nothing;
// maxUnanswered in a row mean that the engine is unavailable.
func (k *Keeper) recordUnanswered(err error) {
	k.state.unanswered++
	if k.state.unanswered >= maxUnanswered {
		k.state.reportedVersion = 0
		k.discardVerified(true, "the engine does not answer: "+err.Error())
	}
}

// evaluate compares the state that the engine reports with the verified one.
func (k *Keeper) evaluate(ctx context.Context, st platform.EngineState) {
	s := &k.state
	s.unanswered = 0
	if st.Boot != s.boot {
		k.discardVerified(true, "the engine restarted")
		*s = runState{boot: st.Boot, retryDelay: minRetryDelay, storeVersion: s.storeVersion, swapTime: s.swapTime, pending: s.pending}
	}
	served := uint64(0)
	if st.State == stateServing && st.Model == k.cfg.Model {
		served = st.Version
	}
	p := k.verified.Load()
	if p.serving != 0 && served == p.serving && st.Boot == p.boot {
		s.reportedVersion = served
		return
	}
	k.discardVerified(false, fmt.Sprintf("the engine is %s on version %d, verified was %d", st.State, st.Version, p.serving))
	k.adoptReported(ctx, st, served)
}

// adoptReported trusts the version that the engine reports without an order of
// this agent: at once on a boot that is new to this agent, otherwise only if
// two read-backs agree. After a failed order it never does: such an engine may
// serve anything.
func (k *Keeper) adoptReported(ctx context.Context, st platform.EngineState, served uint64) {
	s := &k.state
	agreed := served != 0 && (s.reportedVersion == served || !s.everVerified)
	s.reportedVersion = served
	if !agreed || s.failed {
		return
	}
	if k.checkNotSuperseded(ctx, st) != nil {
		return
	}
	s.everVerified = true
	k.publish(&verifiedState{serving: served, boot: st.Boot})
	k.recordServing(served, "the engine says so when read back")
}

// checkNotSuperseded looks for a newer agent in the log and in the engine's own
// state, and returns errSuperseded if there is one. If the log is unavailable,
// only the engine's state is checked (see the package comment).
func (k *Keeper) checkNotSuperseded(ctx context.Context, st platform.EngineState) error {
	token := k.claim.token.Load()
	if token == 0 {
		return nil // without a claim there is nothing to lose
	}
	rctx, cancel := context.WithTimeout(ctx, stateReadTimeout)
	defer cancel()
	if err := k.claim.read(rctx); errors.Is(err, errSuperseded) {
		return err
	}
	if st.Order > token {
		k.claim.stepDown()
		return errSuperseded
	}
	return nil
}

// target returns the version that the engine should serve; 0 means unknown.
func (k *Keeper) target(ctx context.Context) uint64 {
	s := &k.state
	newest := max(k.announcedVersion(), s.storeVersion)
	now := k.cfg.Now()
	if (newest != 0 && newest >= k.streams.Running().Floor) || now.Sub(s.polledAt) < storePollInterval {
		return newest
	}
	// No version was announced yet, or a trainer's floor proves that there is a
	// newer one whose announcement is late, as while the log is unavailable.
	// The store knows it.
	s.polledAt = now
	sctx, cancel := context.WithTimeout(ctx, stateReadTimeout)
	defer cancel()
	if info, err := k.cfg.Store.Latest(sctx, k.cfg.Model); err == nil {
		s.storeVersion = info.Version
	}
	return s.storeVersion
}

// needsOrder reports whether an order for target should be given.
func (k *Keeper) needsOrder(target uint64, st platform.EngineState) bool {
	s := &k.state
	if target == 0 || k.cfg.Now().Before(s.retryAt) || st.State == stateLoading {
		return false
	}
	_, wait, err := k.claim.orderToken(k.cfg.Now())
	if err != nil || wait > 0 {
		return false
	}
	return s.failed || st.State != stateServing || st.Model != k.cfg.Model || st.Version < target
}

// order loads a version and verifies it. The process must not be paused between
// the last check of claim and engine and the order: the time since the check
// and the verified state in force at the start show that.
func (k *Keeper) order(ctx context.Context, w *versionCopy) error {
	defer k.unscheduleSwap()
	if !k.copies.fitsOrderTime(w) {
		return errors.Errorf("%d bytes cannot stream into the engine within %v", w.info.Bytes, k.cfg.MaxOrderTime)
	}
	checkedAt := k.cfg.Now()
	before, token, err := k.prepareOrder(ctx, w)
	if err != nil {
		return err
	}
	old := k.verified.Load()
	body, err := k.copies.open(ctx, w)
	if err != nil {
		return errors.Trace(err)
	}
	defer body.Close()
	if elapsed(checkedAt, k.cfg.Now()) > k.cfg.Lease {
		return errors.New("process was paused between the check and the order")
	}
	k.streams.CancelUnmixed()
	previous := old.serving
	if old.boot != before.Boot {
		previous = 0
	}
	k.publish(&verifiedState{boot: before.Boot, previous: previous, loading: w.info.Version})
	started := k.cfg.Now()
	octx, cancel := context.WithTimeout(ctx, k.cfg.MaxOrderTime)
	defer cancel()
	orderErr := k.cfg.Engine.LoadWeights(octx, w.info, body, token)
	if errors.Is(orderErr, platform.ErrFenced) {
		k.claim.stepDown()
	}
	if (neverReceived(orderErr) || bodyIncomplete(orderErr, body)) && k.isUnchanged(ctx, before) {
		k.publish(old)
		if w.data == nil {
			k.state.retryDelay = incompleteRetryDelay
		}
		return errors.Annotate(orderErr, "engine did not receive the order")
	}
	if err := k.verify(ctx, w, before.Boot, token, orderErr); err != nil {
		k.state.mustRenewToken = !k.cfg.IgnoresFencing && !errors.Is(orderErr, platform.ErrLoadFailed)
		k.recordOrderFailure(err)
		return err
	}
	k.state.observeSwapTime(k.cfg.Now().Sub(started))
	return nil
}

// prepareOrder reads the engine back and returns its state and the token to
// order with, or an error if no order for w may be given now.
func (k *Keeper) prepareOrder(ctx context.Context, w *versionCopy) (before platform.EngineState, token uint64, err error) {
	before, err = k.readBack(ctx)
	if err != nil {
		return before, 0, errors.Annotate(err, "read the engine back before the order")
	}
	if err := k.checkNotSuperseded(ctx, before); err != nil {
		return before, 0, err
	}
	if before.State == stateServing && before.Version > w.info.Version {
		return before, 0, errors.Errorf("engine already serves version %d", before.Version)
	}
	k.renewToken(ctx)
	token, wait, err := k.claim.orderToken(k.cfg.Now())
	if err != nil {
		return before, 0, errors.Annotate(err, "order")
	}
	if wait > 0 {
		return before, 0, errors.Errorf("the predecessor's last order may still run for %v", wait)
	}
	return before, token, nil
}

// renewToken gets a higher token if the last order may still reach the engine.
// If the log is unavailable the old token is used: the read-backs detect an
// engine that the late order set back.
func (k *Keeper) renewToken(ctx context.Context) {
	if !k.state.mustRenewToken {
		return
	}
	if err := k.claim.renew(ctx); err != nil {
		k.log.Info("Claiming a higher fencing token failed; using the old one.", zap.Error(err))
		return
	}
	k.state.mustRenewToken = false
}

// neverReceived reports whether an order's error proves that the engine never
// received it.
func neverReceived(err error) bool {
	for _, possible := range []error{
		nil, platform.ErrFenced, platform.ErrLoadFailed, platform.ErrOrderUnknown,
		context.Canceled, context.DeadlineExceeded,
	} {
		if errors.Is(err, possible) {
			return false
		}
	}
	return true
}

// bodyIncomplete reports whether the engine never received the complete body of
// an order, as when the store is too slow: it can't have executed such an
// order. The caller also checks that the engine reports an unchanged state, its
// last order included.
func bodyIncomplete(err error, b *orderBody) bool {
	return err != nil && !b.isComplete() && !errors.Is(err, platform.ErrLoadFailed) && !errors.Is(err, platform.ErrFenced)
}

// isUnchanged reports whether the engine reports the same state as before the
// order, and the verified state was not discarded meanwhile.
func (k *Keeper) isUnchanged(ctx context.Context, before platform.EngineState) bool {
	st, err := k.readBack(ctx)
	return err == nil && st == before && k.verified.Load().loading != 0
}

// verify reads the engine back after an order. An order whose answer was lost
// may still have been executed; one that failed partway leaves an engine
// that may serve anything, whatever it reports.
func (k *Keeper) verify(ctx context.Context, w *versionCopy, boot string, token uint64, orderErr error) error {
	if errors.Is(orderErr, platform.ErrLoadFailed) || errors.Is(orderErr, platform.ErrFenced) {
		return orderErr
	}
	st, err := k.readAfterLoading(ctx)
	if err != nil {
		return errors.Annotatef(err, "order (%v) not verified", orderErr)
	}
	tokenMatches := st.Order == token || (k.cfg.IgnoresFencing && st.Order == 0)
	if st.State != stateServing || st.Version != w.info.Version || st.Model != k.cfg.Model || st.Boot != boot || !tokenMatches {
		return errors.Errorf("order (%v) not verified: engine is %s on version %d by order %d", orderErr, st.State, st.Version, st.Order)
	}
	if k.pauses.leaseExceeded() || k.verified.Load().loading != w.info.Version {
		return errors.New("trust ended while the order ran")
	}
	k.state.failed, k.state.everVerified, k.state.reportedVersion = false, true, st.Version
	k.state.retryDelay, k.state.retryAt = minRetryDelay, time.Time{}
	k.publish(&verifiedState{serving: st.Version, boot: boot, previous: k.verified.Load().previous})
	k.recordServing(st.Version, "loaded and read back")
	return nil
}

// readAfterLoading reads the engine back until it no longer reports "loading":
// if the order's answer was lost the engine may still be loading.
func (k *Keeper) readAfterLoading(ctx context.Context) (platform.EngineState, error) {
	ctx, cancel := context.WithTimeout(ctx, k.cfg.MaxOrderTime)
	defer cancel()
	tick := time.NewTicker(loadingPollInterval)
	defer tick.Stop()
	for {
		st, err := k.cfg.Engine.State(ctx)
		if err != nil || st.State != stateLoading {
			return st, err
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return st, errors.New("the engine is still loading")
		}
	}
}

// recordOrderFailure stops serving until an order of this agent is verified, or
// the engine restarts and thus has a known state.
func (k *Keeper) recordOrderFailure(err error) {
	k.state.failed = true
	k.discardVerified(true, "weight order failed: "+err.Error())
}

func (k *Keeper) backOff(err error) {
	s := &k.state
	s.retryAt = k.cfg.Now().Add(s.retryDelay/2 + rand.N(s.retryDelay))
	s.retryDelay = min(2*s.retryDelay, maxRetryDelay)
	k.log.Warn("A weight order failed.", zap.Error(err), zap.Time("retry_at", s.retryAt))
}

func (s *runState) observeSwapTime(took time.Duration) {
	if s.swapTime == 0 {
		s.swapTime = took
		return
	}
	s.swapTime += time.Duration(swapSmoothing * float64(took-s.swapTime))
}

func (k *Keeper) recordServing(version uint64, reason string) {
	k.cfg.Logger.Info("Serving verified weights.", zap.Uint64("version", version), zap.String("why", reason))
	k.cfg.Explain.Add(context.Background(), "weights", k.cfg.Server, fmt.Sprintf("serve version %d", version), reason)
}
