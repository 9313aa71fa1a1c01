package settings

import (
	"reflect"

	"github.com/juju/errors"
)

// Changed returns the names ("section.key") of the settings that differ between
// before and after, which must be pointers to structs of the same type.
func Changed(before, after any) ([]string, error) {
	old, err := collect(reflect.ValueOf(before).Elem(), nil)
	if err != nil {
		return nil, errors.Trace(err)
	}
	now, err := collect(reflect.ValueOf(after).Elem(), nil)
	if err != nil {
		return nil, errors.Trace(err)
	}
	var names []string
	for i, f := range old {
		if !reflect.DeepEqual(f.value.Interface(), now[i].value.Interface()) {
			names = append(names, f.name())
		}
	}
	return names, nil
}
