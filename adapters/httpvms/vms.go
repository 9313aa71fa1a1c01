// Package httpvms is the adapter of the platform's VM list.
package httpvms

import (
	"context"
	"net/http"
	"time"

	"github.com/juju/errors"

	"dandelionsill.org/adapters/internal/rest"
	"dandelionsill.org/platform"
)

const (
	timeout      = 5 * time.Second
	maxListBytes = 16 << 20
)

// List implements platform.VMList.
type List struct{ client *rest.Client }

var _ platform.VMList = (*List)(nil)

// New returns an adapter of the list at base (http://IP:port); name is the name of this
// process.
func New(base, name string) *List { return &List{rest.New(base, name)} }

// Close closes idle connections.
func (l *List) Close() { l.client.Close() }

// List implements platform.VMList.
func (l *List) List(ctx context.Context) ([]platform.VM, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var vms []platform.VM
	_, err := l.client.JSON(ctx, http.MethodGet, "/vms", nil, &vms, maxListBytes)
	return vms, errors.Annotate(err, "vm list")
}
