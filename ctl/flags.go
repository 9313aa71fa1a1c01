package ctl

import (
	"flag"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/juju/errors"

	"dandelionsill.org/base/settings"
	"dandelionsill.org/manifest"
	"dandelionsill.org/platform"
)

const defaultTimeout = 30 * time.Second

// Output formats.
const (
	outputTable = "table"
	outputJSON  = "json"
)

// outputFlag is the flag --output.
type outputFlag struct{ format string }

func (o *outputFlag) register(set *flag.FlagSet) {
	set.StringVar(&o.format, "output", outputTable, "form of the output: table or json")
}

func (o *outputFlag) check() error {
	if o.format != outputTable && o.format != outputJSON {
		return usageError("--output %q is not %s or %s", o.format, outputTable, outputJSON)
	}
	return nil
}

// logFlags are the flags for the address of the log and for the public keys whose
// signatures are accepted.
type logFlags struct {
	url    string
	public string
}

func (l *logFlags) register(set *flag.FlagSet) {
	set.StringVar(&l.url, "log", "", "base URL of the log service, by IP")
	set.StringVar(&l.public, "public", "", "public keys that sign manifests, id:base64,…; as in the processes' keys.manifest_public")
}

func (l *logFlags) open(t *tool) (platform.Log, error) {
	if l.url == "" {
		return nil, usageError("--log is missing")
	}
	if err := settings.BaseURL(l.url); err != nil {
		return nil, usageError("--log: %v", err)
	}
	return t.newLog(l.url), nil
}

func (l *logFlags) keys() (manifest.Keys, error) {
	keys, err := manifest.ParseKeys(splitList(l.public))
	if err != nil {
		return nil, usageError("--public: %v", err)
	}
	return keys, nil
}

// requireKeys returns the keys, or a usage error without any. It is for commands
// without a signing key, whose public half would be accepted too.
func (l *logFlags) requireKeys() (manifest.Keys, error) {
	if l.public == "" {
		return nil, usageError("--public is missing: without it no revision's signature can be checked")
	}
	return l.keys()
}

// addresses parses a comma-separated list of IP:port; name is the flag in errors.
func addresses(name, list string) ([]string, error) {
	items := splitList(list)
	for _, item := range items {
		if _, err := netip.ParseAddrPort(item); err != nil {
			return nil, usageError("--%s: %q is not IP:port", name, item)
		}
	}
	return items, nil
}

func splitList(list string) []string {
	var items []string
	for _, item := range strings.Split(list, ",") {
		if item = strings.TrimSpace(item); item != "" {
			items = append(items, item)
		}
	}
	return items
}

func readPrivateKey(path string) (signer, error) {
	if path == "" {
		return signer{}, usageError("--key is missing")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return signer{}, errors.Trace(err)
	}
	id, key, err := manifest.ParsePrivateKey(string(text))
	return signer{id, key}, errors.Annotate(err, path)
}
