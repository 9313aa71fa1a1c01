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

// A refusal made after the request went on would tell the caller "not run"
// about a request that may have run; the caller repeats it and an order is
// doubled. Whatever the order of Send, Return and Refuse, only an unsent
// request can be refused with the claim.
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

// The claim "not run" by a plain constructor must not compile: that is the
// promise of the two kind types.
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

// compiles type-checks src as a further file of this package and tells
// whether src itself has an error.
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

// codesStubImporter stubs the one import outside the standard library; the errors this
// causes in kinds.go itself don't count.
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
			require.Positive(t, a.RetryAfter, "%s: a caller that may come back is told when", k)
		}
	}
	for _, k := range others {
		a := New(k, "x").Answer()
		require.False(t, a.NotRun, k)
		require.False(t, table[string(k)].NotRun, k)
	}
	require.Equal(t, CallerSameKey, New(OutcomeUnknown, "x").Answer().Retry)
}

// A newer process may send a kind that this build does not know: the caller
// gets an internal error, and the hop's proof is neither lost nor invented.
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
