package front

import (
	"fmt"

	"dandelionsill.org/decide/route"
	"dandelionsill.org/kinds"
)

// choiceTexts and skippedStageTexts are the texts for operators of the short reasons of
// decide/route: how the server was picked, and which optional filter was skipped because
// it left no server.
var (
	choiceTexts = map[string]string{
		"two choices":                 "the less loaded of two at random",
		"lowest score":                "the best score",
		"prefix":                      "first for prompts that begin so",
		"prefix: warm":                "has this prompt's beginning in its cache",
		"prefix: spilled":             "next for prompts that begin so, as the first is loaded",
		"prefix: all above the bound": "all servers are loaded",
		"key":                         "first for this idempotency key",
		"holder of the key":           "holds this idempotency key",
	}
	skippedStageTexts = map[string]string{
		route.StageEjected:  "only outliers were left",
		route.StageDomain:   "only failure domains that failed before were left",
		route.StageCapacity: "no server had a free slot",
	}
)

// describeChoice describes a routing decision for the decision record.
func describeChoice(c route.Choice) string {
	text := textFor(choiceTexts, c.Reason)
	if c.Eligible == 0 { // not routed: the call was forwarded to the owner of its key
		return text
	}
	text += fmt.Sprintf("; load %d; servers to choose from: %d", c.Load, c.Eligible)
	if c.SkippedStage != "" {
		text += "; " + textFor(skippedStageTexts, c.SkippedStage)
	}
	return text
}

func textFor(texts map[string]string, reason string) string {
	if text, ok := texts[reason]; ok {
		return text
	}
	return reason
}

// describeFailure describes an attempt's error for the decision record. It distinguishes
// a refusal with proof of "not run" from an attempt that may have run.
func describeFailure(server string, err error) string {
	if e, ok := kinds.As(err); ok && e.NotRun() {
		return "refused by " + server + ", not run"
	}
	return "no whole answer from " + server
}
