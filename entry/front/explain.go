package front

import (
	"fmt"

	"dandelionsill.org/decide/route"
	"dandelionsill.org/kinds"
)

// chosenWords and passedWords say for operators what decide/route says in
// short: how the picker chose, and which soft filter left nobody.
var (
	chosenWords = map[string]string{
		"two choices":                 "the less loaded of two at random",
		"lowest score":                "the best score",
		"prefix":                      "first for prompts that begin so",
		"prefix: warm":                "has this prompt's beginning in its cache",
		"prefix: spilled":             "next for prompts that begin so, as the first is loaded",
		"prefix: all above the bound": "all servers are loaded",
		"key":                         "first for this idempotency key",
		"holder of the key":           "holds this idempotency key",
	}
	passedWords = map[string]string{
		route.StageEjected:  "only outliers were left",
		route.StageDomain:   "only failure domains that failed before were left",
		route.StageCapacity: "no server had a free slot",
	}
)

// chosen words a routing decision for the decision record.
func chosen(c route.Choice) string {
	why := word(chosenWords, c.Reason)
	if c.Eligible == 0 { // no routing: the holder of a key
		return why
	}
	why += fmt.Sprintf("; load %d; servers to choose from: %d", c.Load, c.Eligible)
	if c.SkippedStage != "" {
		why += "; " + word(passedWords, c.SkippedStage)
	}
	return why
}

func word(words map[string]string, short string) string {
	if long, ok := words[short]; ok {
		return long
	}
	return short
}

// failed words a try's error for the decision record: a refusal with proof
// reads otherwise than a try that may have run.
func failed(server string, err error) string {
	if e, ok := kinds.As(err); ok && e.NotRun() {
		return "refused by " + server + ", not run"
	}
	return "no whole answer from " + server
}
