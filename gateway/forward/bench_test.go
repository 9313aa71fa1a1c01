package forward_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dandelionsill.org/gateway/gatewaytest"
)

// BenchmarkSend measures one repeatable request through the forwarder, including the
// stand-in server.
func BenchmarkSend(b *testing.B) {
	pf := gatewaytest.NewPlatform(b, 0, 3)
	p := pf.NewProcess(b)
	r := p.View.Current().Table.Match("app.example", "/score/x")
	c := newCallOn(r, "r", "/score/x")
	for b.Loop() {
		c.Deadline = time.Now().Add(2 * time.Second)
		reply, err := p.Forward.Send(b.Context(), c)
		require.Nil(b, err)
		require.Equal(b, 200, reply.Status)
	}
}
