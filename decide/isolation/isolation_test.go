package isolation

import (
	"testing"

	"github.com/stretchr/testify/require"

	"dandelionsill.org/decide/fanout"
)

// Guards against a process that counts as cut off after one lost round, or stays so after contact.
func TestIsolation(t *testing.T) {
	var s State
	s.RecordSilentRound()
	require.False(t, s.IsIsolated())
	s.RecordContact()
	s.RecordSilentRound()
	require.False(t, s.IsIsolated())
	s.RecordSilentRound()
	require.True(t, s.IsIsolated())
	s.RecordContact()
	require.False(t, s.IsIsolated())
}

// Guards against probes of the own failure domain, which a cut does not reach, and against rounds
// that ask one lost domain only.
func TestTargetsLieInOtherDomains(t *testing.T) {
	var peers []fanout.Member
	for _, vm := range []string{"a1", "a2", "b1", "b2", "c1"} {
		peers = append(peers, fanout.Member{VM: vm, Addr: vm + ":1", FailureDomain: vm[:1]})
	}
	peers = append(peers, fanout.Member{VM: "unplaced", Addr: "u:1"}, fanout.Member{VM: "b3", FailureDomain: "b"})
	seen := map[string]bool{}
	for start := range 12 {
		domains := map[string]bool{}
		for _, m := range Targets("a", peers, start) {
			require.NotEqual(t, "a", m.FailureDomain)
			require.NotEmpty(t, m.Addr)
			seen[m.VM], domains[m.FailureDomain] = true, true
		}
		require.Len(t, domains, 2)
	}
	require.Len(t, seen, 3)
	require.Empty(t, Targets("a", peers[:2], 0))
}
