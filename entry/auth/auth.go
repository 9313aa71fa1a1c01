// Package auth identifies the sender of a request to an entry by its bearer token, whose
// hash is in the manifest.
package auth

import (
	"net/http"
	"strings"

	"dandelionsill.org/confsync"
	"dandelionsill.org/kinds"
	"dandelionsill.org/manifest"
)

const bearerPrefix = "Bearer "

// Caller returns the caller whose token the request carries. Its errors have kind NotReady
// (there is no manifest yet), Unauthenticated, or Forbidden (the token is a trainer's).
func Caller(v *confsync.View, r *http.Request) (manifest.Caller, *kinds.Error) {
	token, refusal := bearerToken(v, r)
	if refusal != nil {
		return manifest.Caller{}, refusal
	}
	if caller, ok := v.Manifest.CallerByToken(token); ok {
		return caller, nil
	}
	if _, ok := v.Manifest.TrainerByToken(token); ok {
		return manifest.Caller{}, kinds.Hold().Refuse(kinds.Forbidden, "this token is a trainer's, the request is for callers")
	}
	return manifest.Caller{}, unknownToken()
}

// Trainer returns the trainer whose token the request carries. Its errors have the same
// kinds as Caller's; a caller's token is Forbidden.
func Trainer(v *confsync.View, r *http.Request) (manifest.Trainer, *kinds.Error) {
	token, refusal := bearerToken(v, r)
	if refusal != nil {
		return manifest.Trainer{}, refusal
	}
	if trainer, ok := v.Manifest.TrainerByToken(token); ok {
		return trainer, nil
	}
	if _, ok := v.Manifest.CallerByToken(token); ok {
		return manifest.Trainer{}, kinds.Hold().Refuse(kinds.Forbidden, "this token is a caller's, the request is for trainers")
	}
	return manifest.Trainer{}, unknownToken()
}

// Operator checks that the request carries an operator's token. Its errors have kind
// NotReady, Unauthenticated (there is no bearer token), or Forbidden (any other token).
func Operator(v *confsync.View, r *http.Request) *kinds.Error {
	token, refusal := bearerToken(v, r)
	if refusal != nil {
		return refusal
	}
	if v.Manifest.IsOperatorToken(token) {
		return nil
	}
	if v.Manifest.Fleet.OperatorSHA256 == "" {
		return kinds.Hold().Refuse(kinds.Forbidden, "the manifest names no operators: set [fleet] operator_sha256")
	}
	return kinds.Hold().Refuse(kinds.Forbidden, "the token is no operator's ([fleet] operator_sha256 of the manifest in force)")
}

func bearerToken(v *confsync.View, r *http.Request) (string, *kinds.Error) {
	if v == nil || v.Manifest == nil {
		return "", kinds.Hold().Refuse(kinds.NotReady, "no manifest revision is known yet")
	}
	header := r.Header.Get("Authorization")
	if header == "" {
		return "", kinds.Hold().Refuse(kinds.Unauthenticated, "header Authorization is missing; send \"Bearer TOKEN\"")
	}
	if len(header) <= len(bearerPrefix) || !strings.EqualFold(header[:len(bearerPrefix)], bearerPrefix) {
		return "", kinds.Hold().Refuse(kinds.Unauthenticated, "header Authorization is not \"Bearer TOKEN\"")
	}
	return header[len(bearerPrefix):], nil
}

func unknownToken() *kinds.Error {
	return kinds.Hold().Refuse(kinds.Unauthenticated, "the token is in no caller or trainer of the manifest in force")
}
