package auth

import (
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"dandelionsill.org/confsync"
	"dandelionsill.org/kinds"
	"dandelionsill.org/manifest"
)

// Tokens: "t" is the caller's, "p" the trainer's, "o" the operator's.
const manifestText = `
[fleet]
name = test
operator_sha256 = 65c74c15a686187bb6bbf9958f494fc6b80068034a659a9ad44991b08c58f2d2
[model drafter]
[caller shop]
token_sha256 = e3b98a4da31a127d4bde6e43033f66ba274cab0eb7eb1c70ec41402bf6273dd8
allow = drafter
[trainer tr]
token_sha256 = 148de9c5a7a44d19e56cd9ae1a554bf67847afb0c58f6e12fa29ac7ddfca9940
model = drafter
staleness_bound = 1
`

func TestTokensByRole(t *testing.T) {
	m, err := manifest.Parse("test", []byte(manifestText))
	require.NoError(t, err)
	withManifest := &confsync.View{Manifest: m}
	cases := []struct {
		view   *confsync.View
		header string
		// kinds of the refusals; "": accepted
		caller, trainer, operator string
	}{
		{withManifest, "Bearer t", "", "forbidden", "forbidden"},
		{withManifest, "bearer p", "forbidden", "", "forbidden"},
		{withManifest, "Bearer o", "unauthenticated", "unauthenticated", ""},
		{&confsync.View{Manifest: &manifest.Manifest{}}, "Bearer o", "unauthenticated", "unauthenticated", "forbidden"},
		{withManifest, "Bearer x", "unauthenticated", "unauthenticated", "forbidden"},
		{withManifest, "Bearer ", "unauthenticated", "unauthenticated", "unauthenticated"},
		{withManifest, "Basic t", "unauthenticated", "unauthenticated", "unauthenticated"},
		{withManifest, "", "unauthenticated", "unauthenticated", "unauthenticated"},
		{nil, "Bearer t", "not_ready", "not_ready", "not_ready"},
		{&confsync.View{}, "Bearer t", "not_ready", "not_ready", "not_ready"},
	}
	for _, c := range cases {
		r := httptest.NewRequest("GET", "/", nil)
		r.Header.Set("Authorization", c.header)
		caller, refusal := Caller(c.view, r)
		require.Equal(t, c.caller, kindOf(refusal), c.header)
		require.Equal(t, c.caller == "", caller.Name == "shop")
		trainer, refusal := Trainer(c.view, r)
		require.Equal(t, c.trainer, kindOf(refusal), c.header)
		require.Equal(t, c.trainer == "", trainer.Name == "tr")
		require.Equal(t, c.operator, kindOf(Operator(c.view, r)), c.header)
	}
}

func kindOf(refusal *kinds.Error) string {
	if refusal == nil {
		return ""
	}
	if !refusal.NotRun() {
		return "not proven"
	}
	return refusal.Kind()
}
