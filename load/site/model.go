package site

import (
	"strconv"
	"time"

	"dandelionsill.org/load/judge"
)

// EngineModel is the speed model of the engine stand-ins, in model time. Zero
// fields take defaults.
type EngineModel struct {
	Slots         int           `json:"slots"`
	StepBase      time.Duration `json:"step_base"`
	StepPerStream time.Duration `json:"step_per_stream"`
	MeanTokens    float64       `json:"mean_tokens"`
	Sigma         float64       `json:"sigma"`
	LoadTime      time.Duration `json:"load_time"`
	PrefixCache   int           `json:"prefix_cache"`
	ChunkTokens   int           `json:"chunk_tokens"`
	Fencing       string        `json:"fencing"` // "obeys" or "ignores"
}

func (m EngineModel) withDefaults() EngineModel {
	if m.Slots == 0 {
		m.Slots = 16
	}
	if m.StepBase == 0 {
		m.StepBase = 12 * time.Millisecond
	}
	if m.StepPerStream == 0 {
		m.StepPerStream = 250 * time.Microsecond
	}
	if m.MeanTokens == 0 {
		m.MeanTokens = 300
	}
	if m.Sigma == 0 {
		m.Sigma = 0.7
	}
	if m.LoadTime == 0 {
		m.LoadTime = 4 * time.Second
	}
	if m.PrefixCache == 0 {
		m.PrefixCache = 64
	}
	if m.ChunkTokens == 0 {
		m.ChunkTokens = 8
	}
	if m.Fencing == "" {
		m.Fencing = "obeys"
	}
	return m
}

// LengthModel is the part of the model that the judge needs.
func (m EngineModel) LengthModel() judge.LengthModel {
	return judge.LengthModel{Mean: m.MeanTokens, Sigma: m.Sigma}
}

// TokenTime is the model time of one token of a stream among n.
func (m EngineModel) TokenTime(n int) time.Duration {
	return m.StepBase + time.Duration(n)*m.StepPerStream
}

// IdealTime is the shortest model time in which so many engines could make
// samples of these lengths: all tokens at the engines' total rate, or the
// longest sample as the only stream of an engine, whichever is longer. An
// engine that is n times slower counts as 1/n.
func (m EngineModel) IdealTime(lengths []int, engines float64) time.Duration {
	total, longest := 0, 0
	for _, n := range lengths {
		total += n
		longest = max(longest, n)
	}
	if engines == 0 {
		return 0
	}
	perToken := float64(m.TokenTime(m.Slots)) / (float64(m.Slots) * engines)
	return max(time.Duration(float64(total)*perToken), time.Duration(longest)*m.TokenTime(1))
}

func (m EngineModel) args() []string {
	return []string{
		"--slots", strconv.Itoa(m.Slots),
		"--step-base", m.StepBase.String(),
		"--step-per-stream", m.StepPerStream.String(),
		"--mean-tokens", strconv.FormatFloat(m.MeanTokens, 'g', -1, 64),
		"--sigma", strconv.FormatFloat(m.Sigma, 'g', -1, 64),
		"--load-time", m.LoadTime.String(),
		"--prefix-cache", strconv.Itoa(m.PrefixCache),
		"--chunk-tokens", strconv.Itoa(m.ChunkTokens),
		"--fencing", m.Fencing,
	}
}

// ServiceModel is the speed of the plain services' stand-ins, in wall time.
type ServiceModel struct {
	Mean time.Duration `json:"mean"` // mean time of one run (exponential)
}

func (m ServiceModel) withDefaults() ServiceModel {
	if m.Mean == 0 {
		m.Mean = 5 * time.Millisecond
	}
	return m
}
