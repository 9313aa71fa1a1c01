package settings

import (
	"flag"
	"net/netip"
	"reflect"
	"slices"
	"strings"

	"github.com/juju/errors"
)

// IPPort returns an error unless s has the form IP:port. Processes connect by IP
// address only: with a host name, the start and each reconnect would depend on a
// resolver.
func IPPort(s string) error {
	if s == "" {
		return errors.New("empty; want IP:port")
	}
	if _, err := netip.ParseAddrPort(s); err != nil {
		return errors.Errorf("%q is not IP:port (host names are not resolved)", s)
	}
	return nil
}

// check returns an error if the value violates the field's kind, min or max tag.
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

// checkBound returns an error if the value is not within the limit given as text;
// violation describes such a value. An empty limitText means no limit.
func (f *field) checkBound(limitText string, within func(x, limit float64) bool, violation string) error {
	if limitText == "" {
		return nil
	}
	limit, err := f.parse(limitText)
	if err != nil {
		return errors.Annotate(err, "min or max tag")
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

// checkEnv returns an error for an environment variable that has the settings'
// prefix but is not a setting: a misspelt one would silently leave the default in
// force.
func checkEnv(environ []string, set *flag.FlagSet) error {
	var known []string
	set.VisitAll(func(f *flag.Flag) { known = append(known, envName(f.Name)) })
	if name := UnknownEnv(environ, envPrefix, known); name != "" {
		return errors.Errorf("unknown environment variable %s%s", name, NearestHint(name, known))
	}
	return nil
}

// UnknownEnv returns the name of the first variable in environ that starts with
// prefix and "_" and is not in known, or "".
func UnknownEnv(environ []string, prefix string, known []string) string {
	for _, entry := range environ {
		name, _, _ := strings.Cut(entry, "=")
		if strings.HasPrefix(name, prefix+"_") && !slices.Contains(known, name) {
			return name
		}
	}
	return ""
}
