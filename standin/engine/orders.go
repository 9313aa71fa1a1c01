package engine

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"io"
	"mime"
	"net/http"
	"strconv"
	"time"

	"dandelionsill.org/adapters/protocol"
	"dandelionsill.org/platform"
	"dandelionsill.org/standin/web"
)

const (
	maxWeightsBytes = 1 << 30 // bytes
	forever         = 100 * 365 * 24 * time.Hour

	// failedLabelIntended is the value of Faults.FailedLabel that makes the
	// engine report the ordered version for every chunk after a partial load.
	failedLabelIntended = "intended"
)

// Faults are the fault switches set by POST /admin/faults. FailNextLoad and
// LoseNextOrder apply to one order; the others apply until the next POST.
type Faults struct {
	FailNextLoad  bool    `json:"fail_next_load"`  // the next load fails halfway, which leaves a mix of two versions
	LoseNextOrder bool    `json:"lose_next_order"` // the next order is obeyed but its answer is lost
	OrderDelayMS  int     `json:"order_delay_ms"`  // delay before a weights order takes effect
	SlowFactor    float64 `json:"slow_factor"`     // factor on step durations; 0 means 1
	Freeze        bool    `json:"freeze"`          // no tokens until cleared
	FreezeMS      int     `json:"freeze_ms"`       // no tokens for this time, unless Freeze is set
	Crash         bool    `json:"crash"`           // the process exits
	NoVersion     bool    `json:"no_version"`      // chunks report no version
	FailedLabel   string  `json:"failed_label"`    // version that chunks report after a partial load: "true" (default) or "intended"
	LoadWrong     uint64  `json:"load_wrong"`      // a weights order succeeds but the engine serves this version; 0: off
}

func (e *Engine) applyFaults(f Faults) {
	if f.Crash && e.cfg.Exit != nil {
		e.cfg.Exit(1)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.failNextLoad = f.FailNextLoad
	e.loseNextAnswer = f.LoseNextOrder
	e.setFreeze(f)
	if f.Crash {
		e.dropAllStreams("crashed")
		e.resetProcess()
	}
	e.notifyWorker()
}

// setFreeze applies the freeze switches. The caller holds the lock.
func (e *Engine) setFreeze(f Faults) {
	e.frozenUntil = time.Time{}
	if f.Freeze {
		e.frozenUntil = time.Now().Add(forever)
	} else if f.FreezeMS > 0 {
		d := time.Duration(f.FreezeMS) * time.Millisecond
		e.frozenUntil = time.Now().Add(d)
		time.AfterFunc(d+time.Millisecond, e.notifyWorker)
	}
}

// weightsRequest is the JSON body of POST /admin/weights. With any other
// content type, headers carry the same fields and the body carries the data.
type weightsRequest struct {
	Model   string `json:"model"`
	Version uint64 `json:"version"`
	Token   uint64 `json:"token"`
	Digest  string `json:"digest"`
	Data    []byte `json:"data"`
}

func readOrder(w http.ResponseWriter, r *http.Request) (weightsRequest, error) {
	var o weightsRequest
	r.Body = http.MaxBytesReader(w, r.Body, maxWeightsBytes)
	if kind, _, _ := mime.ParseMediaType(r.Header.Get("Content-Type")); kind == "application/json" {
		err := web.ReadJSON(r, &o)
		return o, err
	}
	var errs [3]error
	o.Model = r.Header.Get(protocol.WeightsModel)
	o.Digest = r.Header.Get(protocol.WeightsDigest)
	o.Version, errs[0] = strconv.ParseUint(r.Header.Get(protocol.WeightsVersion), 10, 64)
	o.Token, errs[1] = strconv.ParseUint(r.Header.Get(protocol.FencingToken), 10, 64)
	o.Data, errs[2] = io.ReadAll(r.Body)
	return o, errors.Join(errs[:]...)
}

// validate checks the version and, if given, the digest.
func (o weightsRequest) validate() error {
	if o.Version == 0 {
		return errors.New("version: want a number from 1")
	}
	sum := sha256.Sum256(o.Data)
	if o.Digest != "" && o.Digest != hex.EncodeToString(sum[:]) {
		return errors.New("digest does not match")
	}
	return nil
}

// postWeights executes a weights order to its end even if the client
// disconnects.
func (e *Engine) postWeights(w http.ResponseWriter, r *http.Request) {
	o, err := readOrder(w, r)
	if err == nil {
		err = o.validate()
	}
	if err != nil {
		web.Error(w, http.StatusBadRequest, err.Error())
		return
	}
	f := e.Faults.Get()
	web.Sleep(e.ctx, time.Duration(f.OrderDelayMS)*time.Millisecond)
	e.ordersMu.Lock()
	defer e.ordersMu.Unlock()
	l, ok := e.startLoad(o)
	if !ok {
		web.JSON(w, http.StatusConflict, e.State())
		return
	}
	d := e.scaled(e.cfg.LoadTime)
	if l.failsHalfway {
		d /= 2
	}
	web.Sleep(e.ctx, d)
	done := e.finishLoad(o, l)
	e.writeOrderAnswer(w, !done)
}

// writeOrderAnswer answers an order with the engine's state, or drops the
// connection if the fault LoseNextOrder is set.
func (e *Engine) writeOrderAnswer(w http.ResponseWriter, failed bool) {
	e.mu.Lock()
	lose := e.loseNextAnswer
	e.loseNextAnswer = false
	e.mu.Unlock()
	if lose {
		web.Drop()
	}
	status := http.StatusOK
	if failed {
		status = http.StatusInternalServerError
	}
	web.JSON(w, status, e.State())
}

// acceptFencingToken reports whether an order with this token is to be obeyed,
// and if so stores the token. Without fencing, older tokens are accepted too.
// The caller holds the lock.
func (e *Engine) acceptFencingToken(token uint64) bool {
	if token < e.fencingToken {
		if e.cfg.Fencing {
			e.truth.totals.Fenced++
			return false
		}
		e.truth.totals.StaleObeyed++
	}
	e.fencingToken = token
	return true
}

// loading is a load in progress.
type loading struct {
	bootID       string // boot ID when the load started
	oldVersion   uint64 // version served before the load
	failsHalfway bool   // the load is to fail halfway
}

// startLoad starts a load; it returns false if the fencing token is refused.
func (e *Engine) startLoad(o weightsRequest) (loading, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.acceptFencingToken(o.Token) {
		return loading{}, false
	}
	l := loading{bootID: e.bootID, oldVersion: e.version, failsHalfway: e.failNextLoad}
	e.failNextLoad = false
	e.state = stateLoading
	e.truth.totals.Loads++
	return l, true
}

// finishLoad applies the result of a load and reports whether the load
// succeeded.
func (e *Engine) finishLoad(o weightsRequest, l loading) bool {
	wrong := e.Faults.Get().LoadWrong
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.bootID != l.bootID {
		return false // crashed while loading
	}
	defer e.notifyWorker()
	if o.Model != "" {
		e.model = o.Model
	}
	if !l.failsHalfway {
		e.state = stateServing
		e.version = o.Version
		if wrong != 0 {
			e.version = wrong
		}
		return true
	}
	e.state = stateFailed
	e.truth.totals.LoadsFailed++
	e.mixedVersions = [2]uint64{l.oldVersion, o.Version}
	if l.oldVersion == 0 {
		e.mixedVersions[0] = o.Version
	}
	e.version = e.mixedVersions[e.rng.IntN(len(e.mixedVersions))]
	return false
}

// State returns the state that the engine reports at GET /admin/state. The
// fault LoadWrong can make its version differ from the ordered one.
func (e *Engine) State() platform.EngineState {
	e.mu.Lock()
	defer e.mu.Unlock()
	return platform.EngineState{
		Boot:    e.bootID,
		Model:   e.model,
		Version: e.version,
		State:   e.state,
		Order:   e.fencingToken,
		Role:    e.role,
	}
}

func (e *Engine) getState(w http.ResponseWriter, _ *http.Request) {
	web.JSON(w, http.StatusOK, e.State())
}

// postRole stores the role, which State reports. The stand-in behaves the same
// in every role.
func (e *Engine) postRole(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Role  string `json:"role"`
		Token uint64 `json:"token"`
	}
	if err := web.ReadJSON(r, &in); err != nil {
		web.Error(w, http.StatusBadRequest, err.Error())
		return
	}
	e.ordersMu.Lock()
	defer e.ordersMu.Unlock()
	e.mu.Lock()
	ok := e.acceptFencingToken(in.Token)
	if ok {
		e.role = in.Role
	}
	e.mu.Unlock()
	if !ok {
		web.JSON(w, http.StatusConflict, e.State())
		return
	}
	e.writeOrderAnswer(w, false)
}
