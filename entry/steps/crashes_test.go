package steps_test

import (
	"bytes"
	"context"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"dandelionsill.org/decide/poison"
	"dandelionsill.org/kinds"
	"dandelionsill.org/manifest"
	"dandelionsill.org/wire/pb"
)

// ownedSeed is the seed of the sample under which servers end: the second of group g1.
const ownedSeed = 1001

// Failure: in a burst of crashes several engines end while they run the same sample. Guards against a step that
// never ends, since that sample is started nowhere any more although the engines that are left have room.
func TestSampleIsOwedHoweverManyEnginesEndUnderIt(t *testing.T) {
	inBubble(t, func(w *world) {
		const ends = poison.QuarantineThreshold + 2
		w.agents(4, 4, 100)
		ended := 0
		for _, a := range w.fleet.agents {
			a.refuseRequest = func(req *pb.GenerateRequest, n int) *kinds.Error {
				if req.GetSeed() != ownedSeed || ended == ends {
					return nil
				}
				ended++
				return kinds.New(kinds.SampleDiscarded, "the engine's stream broke off").WithEndedServer(fmt.Sprint(a.name, "/", n))
			}
		}
		w.entry("a")
		got, err := w.collect(w.client("a"), step(4, 4))
		require.NoError(t, err)
		require.Len(t, got, 4)
		require.Equal(t, ends, ended)
	})
}

// Failure: in a burst of crashes several servers end while they run the call for one sample's score. Guards against
// a step that never ends, since that call is not made any more.
func TestScoreIsOwedHoweverManyServersEndUnderIt(t *testing.T) {
	inBubble(t, func(w *world) {
		const ends = poison.QuarantineThreshold + 2
		w.agents(2, 4, 100)
		scorer := newAgent("judge", 4, 1)
		scorer.answerScore = func(context.Context, int) (string, error) { return `{"score": 1}`, nil }
		ended := 0
		scorer.refuseScore = func(body []byte, n int) *kinds.Error {
			if !bytes.Contains(body, fmt.Appendf(nil, "p1#%d.0@", ownedSeed)) || ended == ends {
				return nil
			}
			ended++
			return kinds.New(kinds.BackendFailed, "no whole answer").WithEndedServer(fmt.Sprint("judge/", n))
		}
		w.fleet.scorers = append(w.fleet.scorers, scorer)
		w.configureTrainer(func(tr *manifest.Trainer) { tr.Scorer, tr.ScorerPath = "judge", "/score" })
		w.entry("a")
		got, err := w.collect(w.client("a"), step(4, 4))
		require.NoError(t, err)
		require.Len(t, got, 4)
		require.Equal(t, ends, ended)
	})
}
