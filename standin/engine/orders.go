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
	maxWeights = 1 << 30 // bytes
	forever    = 100 * 365 * 24 * time.Hour

	// labelIntended is the value of Faults.FailedLabel that makes the engine lie.
	labelIntended = "intended"
)

// Faults are the switches at POST /admin/faults. Those of the next order are
// spent by it; the others stay until the next POST.
type Faults struct {
	FailNextLoad  bool    `json:"fail_next_load"`  // the next load fails halfway
	LoseNextOrder bool    `json:"lose_next_order"` // the next order is obeyed, its answer lost
	OrderDelayMS  int     `json:"order_delay_ms"`  // an order arrives so much later
	SlowFactor    float64 `json:"slow_factor"`     // factor on step times; 0: 1
	Freeze        bool    `json:"freeze"`          // no token until cleared
	FreezeMS      int     `json:"freeze_ms"`       // no token for so long
	Crash         bool    `json:"crash"`           // the process exits
	NoVersion     bool    `json:"no_version"`      // chunks carry no version
	FailedLabel   string  `json:"failed_label"`    // after a partial load chunks say: "true" (default) or "intended" version
	LoadWrong     uint64  `json:"load_wrong"`      // weights order says done but this version is served; 0: off
}

func (e *Engine) applyFaults(f Faults) {
	if f.Crash && e.cfg.Exit != nil {
		e.cfg.Exit(1)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.failNext = f.FailNextLoad
	e.loseNext = f.LoseNextOrder
	e.freeze(f)
	if f.Crash {
		e.cutAll("crashed")
		e.start()
	}
	e.poke()
}

func (e *Engine) freeze(f Faults) {
	e.frozenUntil = time.Time{}
	if f.Freeze {
		e.frozenUntil = time.Now().Add(forever)
	} else if f.FreezeMS > 0 {
		d := time.Duration(f.FreezeMS) * time.Millisecond
		e.frozenUntil = time.Now().Add(d)
		time.AfterFunc(d+time.Millisecond, e.poke)
	}
}

// weightsRequest is the JSON form of POST /admin/weights; the other form has
// the same in headers and the bytes as the body.
type weightsRequest struct {
	Model   string `json:"model"`
	Version uint64 `json:"version"`
	Token   uint64 `json:"token"`
	Digest  string `json:"digest"`
	Data    []byte `json:"data"`
}

func readOrder(w http.ResponseWriter, r *http.Request) (weightsRequest, error) {
	var o weightsRequest
	r.Body = http.MaxBytesReader(w, r.Body, maxWeights)
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

func (o weightsRequest) check() error {
	if o.Version == 0 {
		return errors.New("version: want a number from 1")
	}
	sum := sha256.Sum256(o.Data)
	if o.Digest != "" && o.Digest != hex.EncodeToString(sum[:]) {
		return errors.New("digest does not match")
	}
	return nil
}

// weightsOrder obeys an order to the end even when its sender goes away.
func (e *Engine) weightsOrder(w http.ResponseWriter, r *http.Request) {
	o, err := readOrder(w, r)
	if err == nil {
		err = o.check()
	}
	if err != nil {
		web.Error(w, http.StatusBadRequest, err.Error())
		return
	}
	f := e.Faults.Get()
	web.Sleep(e.ctx, time.Duration(f.OrderDelayMS)*time.Millisecond)
	e.orders.Lock()
	defer e.orders.Unlock()
	l, ok := e.beginLoad(o)
	if !ok {
		web.JSON(w, http.StatusConflict, e.State())
		return
	}
	d := e.scaled(e.cfg.LoadTime)
	if l.fail {
		d /= 2
	}
	web.Sleep(e.ctx, d)
	done := e.endLoad(o, l)
	e.answerOrder(w, !done)
}

func (e *Engine) answerOrder(w http.ResponseWriter, failed bool) {
	e.mu.Lock()
	lose := e.loseNext
	e.loseNext = false
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

// fence tells whether an order with this token is obeyed, and remembers it.
func (e *Engine) fence(token uint64) bool {
	if token < e.order {
		if e.cfg.Fencing {
			e.truth.totals.Fenced++
			return false
		}
		e.truth.totals.StaleObeyed++
	}
	e.order = token
	return true
}

// loading is a load under way.
type loading struct {
	boot string // of the engine that began it
	old  uint64 // version before it
	fail bool   // it fails halfway
}

func (e *Engine) beginLoad(o weightsRequest) (loading, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.fence(o.Token) {
		return loading{}, false
	}
	l := loading{boot: e.boot, old: e.version, fail: e.failNext}
	e.failNext = false
	e.state = stateLoading
	e.truth.totals.Loads++
	return l, true
}

// endLoad puts the load's result in force; it tells whether that is the whole
// new version.
func (e *Engine) endLoad(o weightsRequest, l loading) bool {
	wrong := e.Faults.Get().LoadWrong
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.boot != l.boot {
		return false // crashed while loading
	}
	defer e.poke()
	if o.Model != "" {
		e.model = o.Model
	}
	if !l.fail {
		e.state = stateServing
		e.version = o.Version
		if wrong != 0 {
			e.version = wrong
		}
		return true
	}
	e.state = stateFailed
	e.truth.totals.LoadsFailed++
	e.mixed = [2]uint64{l.old, o.Version}
	if l.old == 0 {
		e.mixed[0] = o.Version
	}
	e.version = e.mixed[e.rng.IntN(len(e.mixed))]
	return false
}

// State is the engine's word on itself, as in GET /admin/state.
func (e *Engine) State() platform.EngineState {
	e.mu.Lock()
	defer e.mu.Unlock()
	return platform.EngineState{
		Boot:    e.boot,
		Model:   e.model,
		Version: e.version,
		State:   e.state,
		Order:   e.order,
		Role:    e.role,
	}
}

func (e *Engine) getState(w http.ResponseWriter, _ *http.Request) {
	web.JSON(w, http.StatusOK, e.State())
}

// roleOrder keeps the role and reports it; the stand-in's work is the same in
// every role.
func (e *Engine) roleOrder(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Role  string `json:"role"`
		Token uint64 `json:"token"`
	}
	if err := web.ReadJSON(r, &in); err != nil {
		web.Error(w, http.StatusBadRequest, err.Error())
		return
	}
	e.orders.Lock()
	defer e.orders.Unlock()
	e.mu.Lock()
	ok := e.fence(in.Token)
	if ok {
		e.role = in.Role
	}
	e.mu.Unlock()
	if !ok {
		web.JSON(w, http.StatusConflict, e.State())
		return
	}
	e.answerOrder(w, false)
}
