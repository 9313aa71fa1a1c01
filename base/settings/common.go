package settings

import (
	"net/netip"
	"net/url"
	"time"

	"github.com/juju/errors"

	"dandelionsill.org/base/inbound"
	"dandelionsill.org/base/trace"
)

// Common holds the settings that every process has. It is meant to be embedded.
type Common struct {
	Process  Process
	Trace    trace.Config
	Platform Platform
	Keys     Keys
	VM       inbound.Settings
}

// Process identifies this process and configures its listeners, logging and stop.
type Process struct {
	Name          string        `ini:"process.name" help:"name of this VM, as the VM list has it"`
	Region        string        `ini:"process.region" help:"region of this VM"`
	FailureDomain string        `ini:"process.failure_domain" help:"failure domain of this VM"`
	Listen        string        `ini:"process.listen" kind:"ip:port" help:"IP:port of the gRPC listener"`
	HTTP          string        `ini:"process.http" kind:"ip:port" help:"IP:port of the HTTP listener"`
	LogLevel      string        `ini:"process.log_level" default:"info" help:"debug, info, warn or error"`
	DrainTimeout  time.Duration `ini:"process.drain_timeout" default:"1h" min:"0s" max:"24h" help:"longest wait for requests in flight at a stop; shorter than the longest deadline, it cuts off requests"`
	StopDelay     time.Duration `ini:"process.stop_delay" default:"0s" min:"0s" max:"10m" help:"wait between /readyz answering 503 and the drain, for the balancer to notice"`
}

// Platform holds the base URLs of the platform's services.
type Platform struct {
	Log     string `ini:"platform.log" help:"base URL of the log service, by IP"`
	VMs     string `ini:"platform.vms" help:"base URL of the VM list, by IP"`
	Weights string `ini:"platform.weights" help:"base URL of the weight store, by IP"`
}

// Keys holds the public keys that this process trusts.
type Keys struct {
	ManifestPublic []string `ini:"keys.manifest_public" help:"ed25519 public keys that sign manifests, id:base64"`
}

// Validate returns an error if a setting that every process needs is missing or
// invalid.
func (c *Common) Validate() error {
	if c.Process.Name == "" {
		return errors.New("process.name is empty; it must be the VM's name in the VM list")
	}
	if err := checkLogLevel(c.Process.LogLevel); err != nil {
		return errors.Annotate(err, "process.log_level")
	}
	for _, u := range []struct{ name, value string }{
		{"platform.log", c.Platform.Log},
		{"platform.vms", c.Platform.VMs},
		{"platform.weights", c.Platform.Weights},
	} {
		if err := BaseURL(u.value); err != nil {
			return errors.Annotate(err, u.name)
		}
	}
	return errors.Trace(c.Trace.Validate())
}

// BaseURL returns an error unless s is empty or an http(s) URL whose host is an IP
// address.
func BaseURL(s string) error {
	if s == "" {
		return nil
	}
	u, err := url.Parse(s)
	if err != nil {
		return errors.Errorf("%q is not a URL", s)
	}
	if u.Scheme != "http" && u.Scheme != "https" {
		return errors.Errorf("%q is not an http or https URL", s)
	}
	if _, err := netip.ParseAddr(u.Hostname()); err != nil {
		return errors.Errorf("host of %q is not an IP address (host names are not resolved)", s)
	}
	return nil
}

func checkLogLevel(level string) error {
	switch level {
	case "debug", "info", "warn", "error":
		return nil
	}
	return errors.Errorf("%q is not debug, info, warn or error", level)
}
