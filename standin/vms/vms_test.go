package vms_test

import (
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dandelionsill.org/adapters/httpvms"
	"dandelionsill.org/platform"
	"dandelionsill.org/standin/vms"
)

func listNames(t *testing.T, v *vms.VMs) []string {
	t.Helper()
	srv := httptest.NewServer(v)
	defer srv.Close()
	list, err := httpvms.New(srv.URL, "entry-1").List(t.Context())
	require.NoError(t, err)
	out := []string{}
	for _, vm := range list {
		out = append(out, vm.Name)
	}
	return out
}

// The list still shows a VM that was deleted, and does not yet show one that was
// added.
func TestListLags(t *testing.T) {
	v := vms.New(vms.Config{Lag: time.Hour})
	v.Put(platform.VM{Name: "b"})
	require.Empty(t, listNames(t, v))

	now := vms.New(vms.Config{})
	now.Put(platform.VM{Name: "b"})
	now.Put(platform.VM{Name: "a"})
	require.Equal(t, []string{"a", "b"}, listNames(t, now))
	now.Faults.Apply(vms.Faults{Stuck: true})
	now.Delete("a")
	require.Equal(t, []string{"a", "b"}, listNames(t, now))
	now.Faults.Apply(vms.Faults{})
	require.Equal(t, []string{"b"}, listNames(t, now))
}
