package settings

import (
	"flag"
	"net/netip"
	"reflect"
	"slices"
	"strings"

	"github.com/juju/errors"
)

// IPPort checks that s is IP:port. Processes talk by IP numbers: a host name
// would make the start, and each reconnect, hang on a resolver.
func IPPort(s string) error {
	if s == "" {
		return errors.New("empty; want IP:port")
	}
	if _, err := netip.ParseAddrPort(s); err != nil {
		return errors.Errorf("%q is not IP:port (host names are not resolved)", s)
	}
	return nil
}

// check holds the value against its tags.
func (f *field) check() error {
	if f.ipPort && f.value.String() != "" {
		if err := IPPort(f.value.String()); err != nil {
			return err
		}
	}
	if err := f.checkBound(f.minText, func(x, limit float64) bool { return x >= limit }, "below the lowest value"); err != nil {
		return err
	}
	return f.checkBound(f.maxText, func(x, limit float64) bool { return x <= limit }, "above the highest value")
}

func (f *field) checkBound(limitText string, within func(x, limit float64) bool, violation string) error {
	if limitText == "" {
		return nil
	}
	limit, err := f.parse(limitText)
	if err != nil {
		return errors.Annotate(err, "bound")
	}
	if !within(number(f.value), number(limit)) {
		return errors.Errorf("%s is %s, %s", f, violation, limitText)
	}
	return nil
}

func number(v reflect.Value) float64 {
	if v.CanInt() {
		return float64(v.Int())
	}
	return v.Float()
}

// checkEnv refuses environment variables that look like settings and are none:
// a misspelt one would leave the default in force in silence.
func checkEnv(environ []string, set *flag.FlagSet) error {
	var known []string
	set.VisitAll(func(f *flag.Flag) { known = append(known, envName(f.Name)) })
	if name := UnknownEnv(environ, envPrefix, known); name != "" {
		return errors.Errorf("unknown environment variable %s%s", name, NearestHint(name, known))
	}
	return nil
}

// UnknownEnv returns the first variable of a program's prefix that is set and
// not known; "" means none.
func UnknownEnv(environ []string, prefix string, known []string) string {
	for _, entry := range environ {
		name, _, _ := strings.Cut(entry, "=")
		if strings.HasPrefix(name, prefix+"_") && !slices.Contains(known, name) {
			return name
		}
	}
	return ""
}
