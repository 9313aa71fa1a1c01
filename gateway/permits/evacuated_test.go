package permits

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"dandelionsill.org/decide/members"
	decide "dandelionsill.org/decide/permits"
)

// Failure: a failure domain is evacuated and taken back. Guards against a broker that learns of it only
// with the next change of an entry, and against one that grants all places of a server that is back at once.
func TestBrokerFollowsAnEvacuation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake := newFakeBroker()
		listed := []members.Server{{ID: "x1", Name: "x1", FailureDomain: "x", Slots: 6}, {ID: "y1", Name: "y1", FailureDomain: "y", Slots: 6}}
		b := newBroker(shardKey{service: "s", shards: 1}, ServerConfig{
			NewBroker: func(string) Broker { return fake }, Servers: func(string) []members.Server { return listed }, Now: time.Now, Logger: zap.NewNop(),
		})
		server := func() decide.Server {
			b.tick(time.Now())
			return fake.servers[0]
		}
		require.Equal(t, decide.Server{ID: "x1", Name: "x1", Domain: "x", Slots: 6}, server())
		listed = []members.Server{listed[0], listed[1]}
		listed[0].Evacuated = true
		require.Equal(t, decide.Server{ID: "x1", Name: "x1", Domain: "x", Slots: 6, Leaving: true, Evacuated: true}, server())
		listed = []members.Server{listed[0], listed[1]}
		listed[0].Evacuated, listed[0].BackSince = false, time.Now()
		require.Equal(t, 1, server().Slots)
		time.Sleep(time.Second)
		require.Equal(t, 4, server().Slots)
		time.Sleep(time.Minute)
		require.Equal(t, 6, server().Slots)
		require.True(t, b.renewAt.IsZero())
	})
}

// Failure: the store can't be read, so that no server's entry changes, and the broker may no longer be
// the only one. Guards against grants of cold servers that stay as they were when an entry last changed.
func TestBrokerFollowsItsGrants(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake := newFakeBroker()
		listed := []members.Server{{ID: "x1", Name: "x1", Slots: 6}}
		grants, isBounded := 4, true
		b := newBroker(shardKey{service: "s", shards: 1}, ServerConfig{
			NewBroker: func(string) Broker { return fake }, Servers: func(string) []members.Server { return listed }, Now: time.Now, Logger: zap.NewNop(),
			Grants: func(*members.Server, string, int, time.Time) (int, bool) { return grants, isBounded },
		})
		server := func() decide.Server {
			b.tick(time.Now())
			return fake.servers[0]
		}
		require.Equal(t, 4, server().Grants)
		grants = 1
		time.Sleep(time.Second)
		require.Equal(t, 1, server().Grants)
		isBounded = false
		time.Sleep(time.Second)
		require.False(t, server().IsBounded)
		require.True(t, b.renewAt.IsZero(), "servers that need no care cost nothing")
	})
}
