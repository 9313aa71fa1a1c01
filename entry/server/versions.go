package server

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"go.uber.org/zap"

	"dandelionsill.org/entry/answer"
	"dandelionsill.org/entry/auth"
	"dandelionsill.org/entry/front"
	"dandelionsill.org/kinds"
	"dandelionsill.org/platform"
)

const (
	// maxVersionBody is the largest body of an announcement, in bytes.
	maxVersionBody = 1 << 10
	// storeTimeout bounds the query of the weight store, which may be slow for
	// a long time. An announcement must not wait for it.
	storeTimeout = 2 * time.Second
)

// VersionBody is the body that a trainer posts once newer weights are in the
// store.
type VersionBody struct {
	Version uint64 `json:"version"`
}

func (e *entry) serveVersions(w http.ResponseWriter, r *http.Request) {
	if !allowMethod(w, r, http.MethodPost) {
		return
	}
	id, err := front.RequestID(r)
	var body *VersionBody
	if err == nil {
		body, err = e.announce(r)
	}
	if err != nil {
		answer.Error(w, id, err)
		return
	}
	answer.JSON(w, id, http.StatusOK, body)
}

// announce announces the posted version to the configuration keeper, and returns
// it as the body of the answer.
func (e *entry) announce(r *http.Request) (*VersionBody, error) {
	trainer, refusal := auth.Trainer(e.viewer.View(), r)
	if refusal != nil {
		return nil, refusal
	}
	var body VersionBody
	decoder := json.NewDecoder(http.MaxBytesReader(nil, r.Body, maxVersionBody))
	err := decoder.Decode(&body)
	if _, end := decoder.Token(); err != nil || body.Version == 0 || !errors.Is(end, io.EOF) {
		return nil, kinds.Hold().Refuse(kinds.BadRequest, `the body is {"version": N} with N above 0`)
	}
	if err := e.checkStore(r.Context(), trainer.Model, body.Version); err != nil {
		return nil, err
	}
	e.viewer.Announce(trainer.Model, body.Version)
	e.logger.Info("A trainer announced weights.", zap.String("trainer", trainer.Name), zap.String("model", trainer.Model), zap.Uint64("version", body.Version))
	return &body, nil
}

// checkStore refuses a version that is newer than the newest in the store.
// Versions only increase, so a mistyped one would make every engine wait for
// weights that never arrive. While the store is unavailable, any announced version
// is accepted.
func (e *entry) checkStore(ctx context.Context, model string, version uint64) error {
	if e.store == nil {
		return nil
	}
	latest, err := e.latestVersion(ctx, model)
	if err != nil {
		e.logger.Warn("An announced version was not checked, as the weight store is unavailable.", zap.String("model", model), zap.Error(err))
		return nil
	}
	if version > latest.Version {
		return kinds.Hold().Refuse(kinds.BadRequest, "version %d of %s is not in the weight store, whose newest is %d", version, model, latest.Version)
	}
	return nil
}

func (e *entry) latestVersion(ctx context.Context, model string) (platform.WeightInfo, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return e.store.Latest(ctx, model)
}
