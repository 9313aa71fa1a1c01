package server

import (
	"time"

	"github.com/juju/errors"

	"dandelionsill.org/base/settings"
	"dandelionsill.org/decide/eject"
	"dandelionsill.org/decide/subset"
	"dandelionsill.org/entry/steps"
	"dandelionsill.org/manifest"
)

// Settings are the settings of an entry process.
type Settings struct {
	settings.Common
	Entry  Entry
	Subset Subset
	Eject  Eject
	Steps  steps.Policy
}

// Entry holds the limits for requests and answers, and other settings of the
// entry itself.
type Entry struct {
	MaxBody        int           `ini:"entry.max_body" default:"1048576" min:"1" help:"largest request body in bytes; a lower bound of the manifest goes first"`
	MaxStepBody    int           `ini:"entry.max_step_body" default:"67108864" min:"1" help:"largest step that a trainer posts, in bytes"`
	MaxTimeout     time.Duration `ini:"entry.max_timeout" default:"1h" min:"1s" max:"24h" help:"longest deadline that a caller may ask for"`
	MaxBuffer      int           `ini:"entry.max_buffer" default:"8388608" min:"1024" help:"bytes of an answer that are held back until it is whole"`
	MaxAttempts    int           `ini:"entry.max_attempts" default:"4" min:"1" max:"16" help:"servers that one request is tried on"`
	ShareLimits    bool          `ini:"entry.share_limits" default:"true" help:"share callers' limits among the live entries; false: each entry enforces them whole"`
	ExplainRecords int           `ini:"entry.explain" default:"8192" min:"16" max:"1000000" help:"decision records kept for dandelionctl explain"`
	ReportTimeout  time.Duration `ini:"entry.silent" default:"3s" min:"100ms" max:"1m" help:"an agent that says nothing for so long counts as not ready"`
}

// Subset sizes the subset of the agents that an entry watches.
type Subset struct {
	FullBelow   int `ini:"subset.full_below" default:"48" min:"0" max:"10000" help:"with no more agents than this the entry watches all of them"`
	Local       int `ini:"subset.local" default:"12" min:"1" max:"10000" help:"agents of each pool in the entry's own failure domain"`
	Remote      int `ini:"subset.remote" default:"1" min:"0" max:"1000" help:"agents of each pool in each other failure domain"`
	CoverLocal  int `ini:"subset.cover_local" default:"2" min:"0" max:"1000" help:"entries that each agent is given in its own failure domain"`
	CoverRemote int `ini:"subset.cover_remote" default:"1" min:"0" max:"1000" help:"entries that each agent is given elsewhere"`
}

// Eject holds the settings for the ejection of outliers.
type Eject struct {
	Factor      float64       `ini:"eject.factor" default:"3" min:"1.1" max:"1000" help:"a server slower than this many times the pool's median is ejected"`
	FailureRate float64       `ini:"eject.failure_rate" default:"0.5" min:"0.01" max:"1" help:"a server that fails this share of its requests is ejected"`
	MaxShare    float64       `ini:"eject.max_share" default:"0.34" min:"0" max:"1" help:"largest share of a pool that is ejected at once"`
	Base        time.Duration `ini:"eject.base" default:"5s" min:"10ms" max:"10m" help:"length of a first ejection; it doubles while the server stays an outlier"`
}

func (s Subset) config() subset.Config {
	return subset.Config{
		FullBelow:   s.FullBelow,
		Local:       s.Local,
		Remote:      s.Remote,
		CoverLocal:  s.CoverLocal,
		CoverRemote: s.CoverRemote,
	}
}

func (s Eject) config() eject.Config {
	cfg := eject.Default
	cfg.Factor, cfg.FailureRate, cfg.MaxShare, cfg.Base = s.Factor, s.FailureRate, s.MaxShare, s.Base
	return cfg
}

// Validate checks what the struct tags of the fields can't express.
func (s Settings) Validate() error {
	if s.Process.Listen == "" || s.Process.HTTP == "" {
		return errors.New("process.listen and process.http must be set")
	}
	if _, err := manifest.ParseKeys(s.Keys.ManifestPublic); err != nil {
		return errors.Annotate(err, "keys.manifest_public")
	}
	if s.Platform.Log == "" || s.Platform.VMs == "" {
		return errors.New("platform.log and platform.vms must be set")
	}
	return nil
}
