package route

// Constants of the usual policies.
const (
	bestShare           = 0.25
	maxPrefixLoadFactor = 1.25
)

// ForCalls is the policy for unkeyed requests to plain services.
func ForCalls() *Policy {
	stages := append(HardStages(), SoftStages()...)
	stages = append(stages, Stage{Name: StageCapacity, Filter: HasFreeSlot{}, Soft: true})
	return &Policy{
		Stages:  stages,
		Scorers: []Scorer{LoadScore{}, DistanceScore{}},
		Picker:  TwoChoices{BestShare: bestShare},
	}
}

// ForKeyed is the policy for requests with an idempotency key. It has no soft
// stages: where a repeat lands must not hang on load.
func ForKeyed() *Policy {
	return &Policy{Stages: HardStages(), Picker: KeyAffinity{Fallback: LowestScore{}}}
}

// ForModels is the policy for completions. typical is the pool's usual
// tokens/s of one stream.
func ForModels(meanStreamRate float64) *Policy {
	return &Policy{
		Stages:  append(HardStages(), SoftStages()...),
		Scorers: []Scorer{SpeedScore{TypicalRate: meanStreamRate}, DistanceScore{}},
		Picker:  PrefixAffinity{MaxLoadFactor: maxPrefixLoadFactor, Fallback: TwoChoices{BestShare: bestShare}},
	}
}

// MeanStreamRate is the mean tokens/s of one stream over the candidates that
// know theirs; 0: nobody does.
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
