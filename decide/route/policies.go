package route

const (
	bestShare           = 0.25 // TwoChoices.BestShare
	maxPrefixLoadFactor = 1.25 // PrefixAffinity.MaxLoadFactor
)

// ForCalls returns the policy for requests without an idempotency key to services
// other than models.
func ForCalls() *Policy {
	stages := append(HardStages(), SoftStages()...)
	stages = append(stages, Stage{Name: StageCapacity, Filter: HasFreeSlot{}, Soft: true})
	return &Policy{
		Stages:  stages,
		Scorers: []Scorer{LoadScore{}, DistanceScore{}},
		Picker:  TwoChoices{BestShare: bestShare},
	}
}

// ForKeyed returns the policy for requests with an idempotency key. It has no soft
// stages, because the server that a repeat is sent to must not depend on load.
func ForKeyed() *Policy {
	return &Policy{Stages: HardStages(), Picker: KeyAffinity{Fallback: LowestScore{}}}
}

// ForModels returns the policy for completions. meanStreamRate is the pool's mean
// rate of one stream in tokens/s; 0: unknown.
func ForModels(meanStreamRate float64) *Policy {
	return &Policy{
		Stages:  append(HardStages(), SoftStages()...),
		Scorers: []Scorer{SpeedScore{TypicalRate: meanStreamRate}, DistanceScore{}},
		Picker:  PrefixAffinity{MaxLoadFactor: maxPrefixLoadFactor, Fallback: TwoChoices{BestShare: bestShare}},
	}
}

// MeanStreamRate returns the mean rate of one stream, in tokens/s, over the
// candidates that report one; 0 if none does.
func MeanStreamRate(candidates []Candidate) float64 {
	sum, known := 0.0, 0
	for i := range candidates {
		if candidates[i].StreamRate > 0 {
			sum += candidates[i].StreamRate
			known++
		}
	}
	if known == 0 {
		return 0
	}
	return sum / float64(known)
}
