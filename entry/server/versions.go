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
	maxVersionBody = 1 << 10
	// storeTimeout bounds the look into the weight store, which may be slow
	// for long: an announcement must not hang on it.
	storeTimeout = 2 * time.Second
)

// VersionBody is what a trainer posts when newer weights stand in the store.
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

// checkStore refuses a version that the store does not have. Versions only
// rise: a mistyped one would keep every engine waiting for weights that never
// come. While the store can't be asked, the trainer's word is taken.
func (e *entry) checkStore(ctx context.Context, model string, version uint64) error {
	if e.store == nil {
		return nil
	}
	latest, err := e.latestVersion(ctx, model)
	if err != nil {
		e.logger.Warn("The weight store can't be asked about an announced version.", zap.String("model", model), zap.Error(err))
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
