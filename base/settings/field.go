package settings

import (
	"math"
	"reflect"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
)

var durationType = reflect.TypeFor[time.Duration]()

// field is one setting. It implements flag.Value, so that flags, environment
// variables and the file are all parsed by the same rules.
type field struct {
	section, key string
	help         string
	defaultText  string
	secret       bool
	minText      string
	maxText      string
	ipPort       bool
	value        reflect.Value
}

// name returns the setting's name, which is also its flag's name.
func (f *field) name() string { return f.section + "." + f.key }

// fieldsOf returns the settings of dst, a pointer to a struct, after setting their
// defaults.
func fieldsOf(dst any) ([]*field, error) {
	v := reflect.ValueOf(dst)
	if v.Kind() != reflect.Pointer || v.Elem().Kind() != reflect.Struct {
		return nil, errors.Errorf("settings: want a pointer to a struct, got %T", dst)
	}
	fields, err := collect(v.Elem(), nil)
	if err != nil {
		return nil, errors.Trace(err)
	}
	seen := map[string]bool{}
	for _, f := range fields {
		if seen[f.name()] {
			return nil, errors.Errorf("settings: %s is defined twice in %T", f.name(), dst)
		}
		seen[f.name()] = true
		if f.defaultText == "" {
			continue
		}
		if err := f.Set(f.defaultText); err != nil {
			return nil, errors.Annotatef(err, "settings: default of %s", f.name())
		}
	}
	return fields, nil
}

// collect appends the settings of struct v, including those of nested structs.
func collect(v reflect.Value, fields []*field) ([]*field, error) {
	for i := range v.NumField() {
		info, value := v.Type().Field(i), v.Field(i)
		tag, tagged := info.Tag.Lookup("ini")
		if !tagged {
			if value.Kind() != reflect.Struct || !info.IsExported() {
				continue
			}
			var err error
			if fields, err = collect(value, fields); err != nil {
				return nil, err
			}
			continue
		}
		f, err := newField(tag, info, value)
		if err != nil {
			return nil, errors.Annotatef(err, "settings: field %s", info.Name)
		}
		fields = append(fields, f)
	}
	return fields, nil
}

// newField returns the setting for the struct field info with the ini tag. Further
// tags are default and help; min and max, as in `min:"1" max:"10"`, which limit
// numbers and durations; `kind:"ip:port"`, which allows only IP:port; and
// `secret:"true"`, whose value is never printed.
func newField(tag string, info reflect.StructField, v reflect.Value) (*field, error) {
	section, key, ok := strings.Cut(tag, ".")
	if !ok || section == "" || key == "" {
		return nil, errors.Errorf("tag %q is not section.key", tag)
	}
	if !v.CanSet() {
		return nil, errors.New("is not exported")
	}
	return &field{
		section:     section,
		key:         key,
		help:        info.Tag.Get("help"),
		defaultText: info.Tag.Get("default"),
		secret:      info.Tag.Get("secret") == "true",
		minText:     info.Tag.Get("min"),
		maxText:     info.Tag.Get("max"),
		ipPort:      info.Tag.Get("kind") == "ip:port",
		value:       v,
	}, nil
}

// IsBoolFlag reports whether the flag may be given without a value.
func (f *field) IsBoolFlag() bool {
	return f.value.IsValid() && f.value.Kind() == reflect.Bool
}

// String returns the value in the form that Set accepts.
func (f *field) String() string {
	if f == nil || !f.value.IsValid() { // the flag package calls String on a zero value
		return ""
	}
	if f.value.Type() == durationType {
		return time.Duration(f.value.Int()).String()
	}
	switch f.value.Kind() {
	case reflect.Bool:
		return strconv.FormatBool(f.value.Bool())
	case reflect.Int:
		return strconv.FormatInt(f.value.Int(), 10)
	case reflect.Float64:
		return strconv.FormatFloat(f.value.Float(), 'g', -1, 64)
	case reflect.Slice:
		return strings.Join(f.value.Interface().([]string), ",")
	}
	return f.value.String()
}

// Set parses text into the field.
func (f *field) Set(text string) error {
	v, err := f.parse(text)
	if err != nil {
		return err
	}
	f.value.Set(v)
	return nil
}

func (f *field) parse(text string) (reflect.Value, error) {
	if f.value.Type() == durationType {
		d, err := time.ParseDuration(text)
		return reflect.ValueOf(d), invalidValue(err, text, "a duration such as 500ms or 30s")
	}
	switch f.value.Interface().(type) {
	case string:
		return reflect.ValueOf(text), nil
	case bool:
		b, err := strconv.ParseBool(text)
		return reflect.ValueOf(b), invalidValue(err, text, "true or false")
	case int:
		n, err := strconv.Atoi(text)
		return reflect.ValueOf(n), invalidValue(err, text, "a whole number")
	case float64:
		x, err := strconv.ParseFloat(text, 64)
		if err == nil && (math.IsNaN(x) || math.IsInf(x, 0)) {
			err = strconv.ErrRange // NaN passes no comparison with a bound
		}
		return reflect.ValueOf(x), invalidValue(err, text, "a number")
	case []string:
		return reflect.ValueOf(splitList(text)), nil
	}
	return reflect.Value{}, errors.Errorf("type %s is not supported", f.value.Type())
}

func invalidValue(err error, text, want string) error {
	if err == nil {
		return nil
	}
	return errors.Errorf("%q is not %s", text, want)
}

// splitList splits text at commas and drops spaces around items and empty items.
func splitList(text string) []string {
	var items []string
	for item := range strings.SplitSeq(text, ",") {
		if item = strings.TrimSpace(item); item != "" {
			items = append(items, item)
		}
	}
	return items
}
