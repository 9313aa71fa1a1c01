package steps_test

import (
	"bytes"
	"context"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"dandelionsill.org/decide/poison"
	"dandelionsill.org/entry/steps"
	"dandelionsill.org/kinds"
	"dandelionsill.org/manifest"
	"dandelionsill.org/quarantine"
	"dandelionsill.org/wire/pb"
)

// crashingSeed is the seed of the sample that crashes engines: the second of group g1.
const crashingSeed = 1001

// One sample of a step crashes each engine that starts it. A step can't end without all its
// samples, so without the quarantine the entry would send it to one engine after another,
// and each crash would also end the other samples that run there. With it three engines
// crash, and the trainer gets all groups but the one of that sample.
func TestSampleThatEndsEnginesIsHeldBack(t *testing.T) {
	inBubble(t, func(w *world) {
		w.agents(4, 4, 100)
		ended := 0
		for _, a := range w.fleet.agents {
			a.refuseRequest = func(req *pb.GenerateRequest, n int) *kinds.Error {
				if req.GetSeed() != crashingSeed {
					return nil
				}
				ended++
				return kinds.New(kinds.SampleDiscarded, "the engine's stream broke off").WithEndedServer(fmt.Sprint(a.name, "/", n))
			}
		}
		w.entry("a", func(c *steps.Config) { c.Quarantine = quarantine.New(zap.NewNop()) })
		got, err := w.collect(w.client("a"), step(4, 4))
		require.ErrorIs(t, err, context.DeadlineExceeded, "the trainer waits for the held-back sample")
		require.Len(t, got, 3)
		require.Equal(t, poison.QuarantineThreshold, ended)
	})
}

// The call for one sample's score crashes each server that runs it. Three crash, and the
// other samples are scored.
func TestScoreThatEndsServersIsStopped(t *testing.T) {
	inBubble(t, func(w *world) {
		w.agents(2, 4, 100)
		scorer := newAgent("judge", 4, 1)
		scorer.answerScore = func(context.Context, int) (string, error) { return `{"score": 1}`, nil }
		ended := 0
		scorer.refuseScore = func(body []byte, n int) *kinds.Error {
			if !bytes.Contains(body, fmt.Appendf(nil, "p1#%d.0@", crashingSeed)) {
				return nil
			}
			ended++
			return kinds.New(kinds.BackendFailed, "no whole answer").WithEndedServer(fmt.Sprint("judge/", n))
		}
		w.fleet.scorers = append(w.fleet.scorers, scorer)
		w.configureTrainer(func(tr *manifest.Trainer) { tr.Scorer, tr.ScorerPath = "judge", "/score" })
		w.entry("a", func(c *steps.Config) { c.Quarantine = quarantine.New(zap.NewNop()) })
		got, err := w.collect(w.client("a"), step(4, 4))
		require.ErrorIs(t, err, context.DeadlineExceeded, "the trainer waits for the score that is held back")
		require.Len(t, got, 3)
		require.Equal(t, poison.QuarantineThreshold, ended)
	})
}
