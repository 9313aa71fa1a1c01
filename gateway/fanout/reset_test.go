package fanout

import (
	"bytes"
	"encoding/gob"
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"dandelionsill.org/base/boottime"
	"dandelionsill.org/base/outbound/outboundtest"
	"dandelionsill.org/decide/fanout"
)

// Failure: a gateway resets the connection after an answer without a length. Guards against records that count though the answer
// may go on.
func TestResetAnswerOfAParentIsRefused(t *testing.T) {
	var page bytes.Buffer
	require.NoError(t, gob.NewEncoder(&page).Encode(&tailAnswer{Next: 8, End: 8}))
	server := outboundtest.NewResettingServer(t, outboundtest.OK(page.String()).WithoutLength())
	r := NewReader(Config{Now: boottime.Now, Logger: zap.NewNop()})
	_, _, err := r.askParent(t.Context(), fanout.Member{VM: "p", Addr: server.Addr}, parentRead{stream: testStream})
	require.Error(t, err)
}
