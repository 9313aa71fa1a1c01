// Package isolation decides from what a process hears whether it is cut off from everything
// outside its failure domain, although callers may still reach it. It does no I/O and reads no
// clock.
package isolation

import (
	"time"

	"dandelionsill.org/decide/fanout"
)

const (
	// MaxSilence is how long nothing may be heard from outside before peers are probed. It is
	// longer than a read of the log waits for a record, so that a process that follows the log
	// and reaches it probes nobody.
	MaxSilence = 600 * time.Millisecond
	// minFailedRounds is the number of rounds of probes without an answer after which the process
	// counts as cut off. A single round may fall into a burst of lost packets.
	minFailedRounds = 2
	// ProbesPerRound bounds the peers that one round probes, each of another failure domain as far
	// as possible.
	ProbesPerRound = 3
)

// State holds the rounds of probes that have failed in succession. Its zero value is ready to use
// and not isolated. It is not safe for concurrent use.
type State struct{ failed int }

// RecordContact records that the process has heard from outside its failure domain.
func (s *State) RecordContact() { s.failed = 0 }

// RecordSilentRound records that no peer has answered a round of probes.
func (s *State) RecordSilentRound() { s.failed++ }

// IsIsolated reports whether the process is cut off.
func (s *State) IsIsolated() bool { return s.failed >= minFailedRounds }

// Targets returns the peers to probe in a round: at most ProbesPerRound that lie outside the own
// failure domain, of as many domains as possible. start chooses among them, so that rounds differ.
// No target means that the process can't tell that it is cut off.
func Targets(ownDomain string, peers []fanout.Member, start int) []fanout.Member {
	byDomain := map[string][]fanout.Member{}
	var domains []string
	for _, p := range peers {
		if p.FailureDomain == ownDomain || p.FailureDomain == "" || p.Addr == "" {
			continue
		}
		if byDomain[p.FailureDomain] == nil {
			domains = append(domains, p.FailureDomain)
		}
		byDomain[p.FailureDomain] = append(byDomain[p.FailureDomain], p)
	}
	var targets []fanout.Member
	for i := 0; len(domains) > 0 && i < ProbesPerRound; i++ {
		// Each pass over the domains takes the next member of each.
		domain := domains[(start+i)%len(domains)]
		members := byDomain[domain]
		if pass := i / len(domains); pass < len(members) {
			targets = append(targets, members[(start+pass)%len(members)])
		}
	}
	return targets
}
