package kinds

import (
	"go/ast"
	"go/importer"
	"go/parser"
	"go/token"
	"go/types"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against a false "not run" claim: a request refused after it was sent
// may have run, and a caller that repeats it would, for example, double an order.
// In any order of MarkSent, RestoreProof and Refuse, only an unsent request can be
// refused with the claim.
func TestRefuseClaimsNotRunOnlyWhileUnsent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := Hold()
		sent := false
		for range rapid.IntRange(0, 8).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				h.MarkSent()
				sent = true
			case 1:
				h.RestoreProof(New(OutcomeUnknown, "lost"))
			case 2:
				h.RestoreProof(Hold().Refuse(Leaving, "going"))
				sent = false
			case 3:
				err := h.Refuse(Overloaded, "full")
				require.Equal(t, !sent, err.NotRun())
				require.Equal(t, !sent, err.Kind() == string(Overloaded))
			}
		}
	})
}

// New must not accept a NotRunKind, nor Refuse a Kind: the two types make the
// compiler reject such calls.
func TestFalseNotRunClaimDoesNotCompile(t *testing.T) {
	for src, ok := range map[string]bool{
		`package kinds; var e = New(OutcomeUnknown, "x")`:      true,
		`package kinds; var e = New(Overloaded, "x")`:          false,
		`package kinds; var e = Hold().Refuse(Internal, "x")`:  false,
		`package kinds; var e = Hold().Refuse(NoServer, "%d")`: true,
	} {
		require.Equal(t, ok, compiles(t, src), src)
	}
}

// compiles type-checks src as an additional file of this package and reports
// whether src itself is free of errors.
func compiles(t *testing.T, src string) bool {
	t.Helper()
	fset := token.NewFileSet()
	own, err := parser.ParseFile(fset, "kinds.go", nil, 0)
	require.NoError(t, err)
	extra, err := parser.ParseFile(fset, "extra.go", src, 0)
	require.NoError(t, err)
	ok := true
	cfg := types.Config{
		Importer: codesStubImporter{importer.ForCompiler(fset, "source", nil)},
		Error: func(err error) {
			if e, is := err.(types.Error); is && fset.Position(e.Pos).Filename == "extra.go" {
				ok = false
			}
		},
	}
	_, _ = cfg.Check("kinds", fset, []*ast.File{own, extra}, nil)
	return ok
}

// codesStubImporter replaces the one import outside the standard library by an empty
// package; the errors that this causes in kinds.go itself are ignored.
type codesStubImporter struct{ types.Importer }

func (s codesStubImporter) Import(path string) (*types.Package, error) {
	if path == "google.golang.org/grpc/codes" {
		return types.NewPackage(path, "codes"), nil
	}
	return s.Importer.Import(path)
}

func TestTableCoversEveryKind(t *testing.T) {
	notRun := []NotRunKind{
		BadRequest, Unauthenticated, Forbidden, NotFound, TooLarge, KeyReused, KeyTooOld, ClaimedElsewhere,
		RateLimited, Overloaded, DeadlineTooShort, Leaving, NoServer, StaleWeights, LogUnavailable,
		RevisionConflict, NotReady, Quarantined,
	}
	others := []Kind{OutcomeUnknown, BackendFailed, DeadlineExceeded, SampleDiscarded, Superseded, Cancelled, Internal}
	require.Len(t, All(), len(notRun)+len(others))
	for _, k := range notRun {
		a := Hold().Refuse(k, "x").Answer()
		require.True(t, a.NotRun, k)
		require.True(t, table[string(k)].NotRun, k)
		if a.Retry == Caller {
			require.Positive(t, a.RetryAfter, "%s: a caller that may retry needs a Retry-After", k)
		}
	}
	for _, k := range others {
		a := New(k, "x").Answer()
		require.False(t, a.NotRun, k)
		require.False(t, table[string(k)].NotRun, k)
	}
	require.Equal(t, CallerSameKey, New(OutcomeUnknown, "x").Answer().Retry)
}

// A newer process may send a kind that this build does not know. The caller must
// get an internal error, and NotRun must stay as the hop sent it.
func TestWireRoundTrip(t *testing.T) {
	for _, notRun := range []bool{true, false} {
		e := FromWire(Refusal{Kind: "from_the_future", Message: "m", NotRun: notRun, Holder: "h"})
		require.Equal(t, 500, e.Answer().HTTP)
		require.Equal(t, notRun, e.Answer().NotRun)
		require.Equal(t, Refusal{Kind: "from_the_future", Message: "m", NotRun: notRun, Holder: "h"}, ToWire(e))
	}
	wrapped := New(BackendFailed, "server s1").WithCause(Hold().Refuse(Leaving, "going"))
	require.Equal(t, "server s1: leaving: going", ToWire(wrapped).Message)
	require.False(t, ToWire(wrapped).NotRun)
}
