package site

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dandelionsill.org/manifest"
)

func TestDeploymentsHaveValidManifests(t *testing.T) {
	for _, d := range []Deployment{Spolek, Lentelar, Small} {
		s := Site{Deployment: d, TimeScale: 0.1}
		m, err := manifest.Parse(d.Name, s.Manifest("a note"))
		require.NoError(t, err, d.Name)
		require.Len(t, m.Trainers, d.Trainers)
		caller, ok := m.CallerByToken(Token(Caller))
		require.True(t, ok)
		require.True(t, caller.Allow[d.Model] && caller.Allow[d.Service])
	}
}

func TestLayout(t *testing.T) {
	for _, d := range []Deployment{Spolek, Lentelar, Small} {
		public, _ := SigningKey()
		s, err := New(Options{Deployment: d, NetOctet: 250, Dir: t.TempDir(), BinDir: "bin", PublicKey: public})
		require.NoError(t, err)
		require.NoError(t, s.Save())
		require.Len(t, s.ByRole(RoleAgent), d.Engines+d.Services+d.Scorers)
		require.Len(t, s.ByRole(RoleEntry), d.Entries)
		seen := map[string]bool{}
		for _, p := range s.Processes {
			for _, addr := range []string{p.GRPC, p.URL} {
				require.False(t, addr != "" && seen[addr], "%s has the address of another", p.Name)
				seen[addr] = true
			}
		}
		plan, err := os.ReadFile(filepath.Join(s.Dir, "plan.txt"))
		require.NoError(t, err)
		require.Equal(t, len(s.Processes), strings.Count(string(plan), "\n"))
		again, err := Load(s.Dir)
		require.NoError(t, err)
		require.Equal(t, s, again)
	}
}

func TestIdeal(t *testing.T) {
	m := EngineModel{Slots: 2, StepBase: 9 * time.Millisecond, StepPerStream: time.Millisecond}
	// Two engines with two slots make a token in 11/4 ms; alone one takes 10 ms.
	require.Equal(t, 11*time.Second, m.IdealTime([]int{1000, 1000, 1000, 1000}, 2))
	require.Equal(t, 30*time.Second, m.IdealTime([]int{3000, 10}, 2))
}
