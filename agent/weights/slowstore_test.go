package weights

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"dandelionsill.org/platform"
)

// sizedStore is a store of versions of one size, whose version badVersion has
// wrong bytes.
type sizedStore struct {
	platform.WeightStore
	bytes      int
	badVersion uint64
}

func (s sizedStore) info(version uint64) ([]byte, platform.WeightInfo) {
	data := bytes.Repeat([]byte{byte(version)}, s.bytes)
	sum := sha256.Sum256(data)
	return data, platform.WeightInfo{Model: "m", Version: version, Bytes: int64(s.bytes), Digest: hex.EncodeToString(sum[:])}
}

func (s sizedStore) Latest(context.Context, string) (platform.WeightInfo, error) {
	_, info := s.info(8)
	return info, nil
}

func (s sizedStore) Fetch(_ context.Context, _ string, version uint64) (io.ReadCloser, platform.WeightInfo, error) {
	data, info := s.info(version)
	if version == s.badVersion {
		data[0]++
	}
	return io.NopCloser(bytes.NewReader(data)), info, nil
}

// streamingEngine is an engine that reads the weights as they arrive and, like
// the HTTP adapter, returns an error when the order's time has passed.
type streamingEngine struct{ *fakeEngine }

func (e streamingEngine) LoadWeights(ctx context.Context, info platform.WeightInfo, data io.Reader, token uint64) error {
	read := make(chan error, 1)
	go func() {
		_, err := io.Copy(io.Discard, data)
		read <- err
	}()
	select {
	case err := <-read:
		if err != nil {
			return err
		}
	case <-ctx.Done():
		return errors.Join(platform.ErrOrderUnknown, ctx.Err())
	}
	return e.fakeEngine.LoadWeights(ctx, info, bytes.NewReader(nil), token)
}

const slowBytesPerSecond = 20e3 // bytes per second, this agent's share

// The store is slow: this agent's share of its rate carries a version in 64 s.
// If each fetch were ended after 30 s and restarted from the first byte, the
// engines would never get the version, the floor would pass them, and the
// trainer's step would never end although the store delivers all the time.
func TestSlowStoreStillDelivers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newServingKeeper(t, func(c *Config) { c.Store = sizedStore{bytes: 1_500_000} })
		b.view.Manifest.Fleet.StoreBytesPS = slowBytesPerSecond
		for range 4 {
			b.copies.fetch(t.Context(), 8)
		}
		require.NotNil(t, b.copies.get(8), "the version is fetched within four fetches")
	})
}

// A version is larger than an agent keeps, so it streams from the store into
// the engine. At this agent's share that takes 64 s; the order times out after
// 15 s. If the order were tried, the engine, which served version 7 well, would
// serve nothing from the first attempt on. All engines of the model would do
// the same: trainers and callers would lose all capacity because the store is
// slow.
func TestSlowStoreDoesNotTakeEnginesOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newServingKeeper(t, func(c *Config) {
			c.Store, c.MaxCopyBytes = sizedStore{bytes: 1_500_000}, 1000
			c.Engine = streamingEngine{c.Engine.(*fakeEngine)}
		})
		b.view.Manifest.Fleet.StoreBytesPS = slowBytesPerSecond
		b.view.Versions["m"] = 8
		start := time.Now()
		for time.Since(start) < 10*time.Minute {
			b.step(t.Context())
			synctest.Wait()
			b.advance(b.cfg.ReadBackInterval)
			time.Sleep(b.cfg.ReadBackInterval)
		}
		require.NotZero(t, b.servingVersion(), "the version served for 10 min")
	})
}

// An order that can't end in time is not started: while it ran the engine would
// serve nothing.
func TestTooLongOrderIsNotStarted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newServingKeeper(t, func(c *Config) {
			c.Store, c.MaxCopyBytes = sizedStore{bytes: 1_500_000}, 1000
			c.Engine = streamingEngine{c.Engine.(*fakeEngine)}
		})
		b.view.Manifest.Fleet.StoreBytesPS = slowBytesPerSecond
		_, info := sizedStore{bytes: 1_500_000}.info(8)
		start := time.Now()
		require.Error(t, b.order(t.Context(), &versionCopy{info: info}))
		require.Zero(t, time.Since(start))
		require.EqualValues(t, 7, b.servingVersion())
	})
}

// Version 8 is announced, but its bytes in the store are broken. An engine
// restarts and is empty. Version 7, which all its peers serve and every
// trainer's bound allows, is in the store. If the agent tried only version 8,
// the server would serve nothing until a ninth version is published.
func TestEmptyEngineLoadsOlderVersion(t *testing.T) {
	b := newTestKeeper(t, func(c *Config) { c.Store = sizedStore{bytes: 1000, badVersion: 8} })
	b.mustClaim()
	b.engine.set(func(st *platform.EngineState) { st.Version, st.State = 0, "empty" })
	b.view.Versions["m"] = 8
	for range 100 {
		b.step(t.Context())
		b.awaitFetch()
		b.advance(b.cfg.ReadBackInterval)
	}
	require.EqualValues(t, 7, b.servingVersion())
}

// tricklingStore is a store that sends its bytes slowly, whatever rate the
// manifest gives.
type tricklingStore struct {
	sizedStore
	perSecond int
}

type tricklingReader struct {
	io.Reader
	perSecond int
}

func (r tricklingReader) Read(p []byte) (int, error) {
	time.Sleep(time.Second)
	return r.Reader.Read(p[:min(len(p), r.perSecond)])
}

func (s tricklingStore) Fetch(_ context.Context, _ string, version uint64) (io.ReadCloser, platform.WeightInfo, error) {
	data, info := s.info(version)
	return io.NopCloser(tricklingReader{bytes.NewReader(data), s.perSecond}), info, nil
}

// As in TestSlowStoreDoesNotTakeEnginesOut, but the store is slower than the
// manifest's rate, as it is for long stretches: by this agent's share alone the
// order would end in time. The order is started and its body is cut off half
// way after 15 s because it arrives too slowly. The engine, which never
// received a complete order and still reports version 7, must not be taken out
// of service for ever, and neither must its peers.
func TestStoreSlowerThanItsRateDoesNotTakeEnginesOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		defer time.Sleep(5 * time.Minute) // lets the last body's reader end
		b := newServingKeeper(t, func(c *Config) {
			c.Store, c.MaxCopyBytes = tricklingStore{sizedStore{bytes: 1_500_000}, slowBytesPerSecond}, 1000
			c.Engine = streamingEngine{c.Engine.(*fakeEngine)}
		})
		b.view.Manifest.Fleet.StoreBytesPS = 1e9
		b.view.Versions["m"] = 8
		servedReads, reads := 0, 0
		for range 300 {
			b.step(t.Context())
			synctest.Wait()
			b.advance(b.cfg.ReadBackInterval)
			time.Sleep(b.cfg.ReadBackInterval)
			if reads++; b.servingVersion() != 0 {
				servedReads++
			}
		}
		require.Greater(t, servedReads, reads/2, "read-backs at which a version was served")
	})
}

// A version is larger than agents keep, so each of a model's 61 agents streams
// it from the store. If each paced itself by the number of seeds of the relay
// tree, which is 1, together they would ask for 61 times the store's rate. The
// store would slow down for all of them or refuse, and orders that time out
// would take serving engines out of service.
func TestLargeVersionsShareTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const size, perSecond, others = 1_500_000, 1e6, 60
		b := newTestKeeper(t, func(c *Config) {
			c.Store, c.MaxCopyBytes = sizedStore{bytes: size}, 1000
			c.Peers = func() (out []Peer) {
				for i := range others {
					out = append(out, Peer{Name: fmt.Sprint("f", i), Addr: fmt.Sprint("addr", i)})
				}
				return out
			}
		})
		b.view.Manifest.Fleet.StoreBytesPS = perSecond
		_, info := sizedStore{bytes: size}.info(8)
		body, err := b.copies.open(t.Context(), &versionCopy{info: info})
		require.NoError(t, err)
		start := time.Now()
		_, err = io.Copy(io.Discard, body)
		require.NoError(t, err)
		const burst = pieceBytes
		share := perSecond / (others + 1)
		require.GreaterOrEqual(t, time.Since(start).Seconds(), (size-burst)/share*0.9)
	})
}
