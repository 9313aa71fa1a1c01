// Package httpvms is the adapter of the platform's VM list.
package httpvms

import (
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"time"

	"github.com/juju/errors"

	"dandelionsill.org/adapters/internal/rest"
	"dandelionsill.org/base/metrics"
	"dandelionsill.org/platform"
)

const (
	timeout      = 5 * time.Second
	maxListBytes = 16 << 20
)

var rowsInvalid = metrics.Counter("vms_rows_invalid_total")

// List implements platform.VMList.
type List struct{ client *rest.Client }

var _ platform.VMList = (*List)(nil)

// New returns an adapter of the list at base (http://IP:port); name is the name of this
// process.
func New(base, name string) *List { return &List{rest.New(base, name)} }

// Close closes idle connections.
func (l *List) Close() { l.client.Close() }

// List implements platform.VMList. It leaves out rows that describe no VM, so that one of them hides no others.
func (l *List) List(ctx context.Context) ([]platform.VM, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var rows []json.RawMessage
	if _, err := l.client.JSON(ctx, http.MethodGet, "/vms", nil, &rows, maxListBytes); err != nil {
		return nil, errors.Annotate(err, "vm list")
	}
	vms := make([]platform.VM, 0, len(rows))
	for _, row := range rows {
		vm, err := decodeRow(row)
		if err != nil {
			rowsInvalid.Add(1)
			continue
		}
		vms = append(vms, vm)
	}
	return vms, nil
}

func decodeRow(row []byte) (platform.VM, error) {
	var vm platform.VM
	if err := json.Unmarshal(row, &vm); err != nil {
		return platform.VM{}, errors.Trace(err)
	}
	if vm.Name == "" {
		return platform.VM{}, errors.NotValidf("row without a name")
	}
	if vm.Addr == "" { // it has none yet
		return vm, nil
	}
	_, err := netip.ParseAddrPort(vm.Addr)
	return vm, errors.Trace(err)
}
