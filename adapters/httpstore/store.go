// Package httpstore is the adapter of the platform's weight store.
package httpstore

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"hash"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/juju/errors"

	"dandelionsill.org/adapters/internal/rest"
	"dandelionsill.org/adapters/protocol"
	"dandelionsill.org/platform"
)

const latestTimeout = 5 * time.Second

// Store implements platform.WeightStore.
type Store struct{ c *rest.Client }

var _ platform.WeightStore = (*Store)(nil)

// New makes an adapter of the store at base (http://IP:port); name is the
// name of this process.
func New(base, name string) *Store { return &Store{rest.New(base, name)} }

// Close closes idle connections.
func (s *Store) Close() { s.c.Close() }

func modelPath(model string) string { return "/models/" + url.PathEscape(model) }

func versionPath(model string, version uint64) string {
	return modelPath(model) + "/versions/" + strconv.FormatUint(version, 10)
}

// Latest implements platform.WeightStore; ErrNotFound when there is none.
func (s *Store) Latest(ctx context.Context, model string) (platform.WeightInfo, error) {
	ctx, cancel := context.WithTimeout(ctx, latestTimeout)
	defer cancel()
	var info platform.WeightInfo
	_, err := s.c.JSON(ctx, http.MethodGet, modelPath(model)+"/latest", nil, &info, 0)
	return info, failure(err, "latest")
}

func failure(err error, what string) error {
	if rest.StatusCode(err) == http.StatusNotFound {
		return errors.Annotatef(platform.ErrNotFound, "weights: %s", what)
	}
	return errors.Annotatef(err, "weights: %s", what)
}

// Fetch implements platform.WeightStore. The reader ends with io.EOF only when
// length and digest are those of the info, else with ErrDigest or the
// connection's error. ctx bounds the whole of the reading.
func (s *Store) Fetch(ctx context.Context, model string, version uint64) (io.ReadCloser, platform.WeightInfo, error) {
	resp, _, err := s.c.Do(ctx, rest.Request{Method: http.MethodGet, Path: versionPath(model, version)})
	if err != nil {
		return nil, platform.WeightInfo{}, errors.Annotate(err, "weights: fetch")
	}
	info := platform.WeightInfo{
		Model:   model,
		Version: version,
		Bytes:   resp.ContentLength,
		Digest:  resp.Header.Get(protocol.WeightsDigest),
	}
	if resp.StatusCode != http.StatusOK {
		defer rest.DrainAndClose(resp)
		return nil, platform.WeightInfo{}, failure(rest.NewStatusError(resp), "fetch")
	}
	if info.Bytes < 0 || info.Digest == "" {
		_ = resp.Body.Close()
		return nil, platform.WeightInfo{}, errors.New("weights: fetch: answer without length or digest")
	}
	return &verified{body: resp.Body, sum: sha256.New(), want: info.Digest}, info, nil
}

// verified checks the digest at the end. The HTTP client itself reports a
// body that is shorter than its declared length.
type verified struct {
	body io.ReadCloser
	sum  hash.Hash
	want string
}

func (v *verified) Read(p []byte) (int, error) {
	n, err := v.body.Read(p)
	_, _ = v.sum.Write(p[:n])
	if err == io.EOF && hex.EncodeToString(v.sum.Sum(nil)) != v.want {
		return n, errors.Trace(platform.ErrDigest)
	}
	return n, err
}

func (v *verified) Close() error { return v.body.Close() }

// Put implements platform.WeightStore. A version's content never changes, so
// a repeat after a lost answer is harmless.
func (s *Store) Put(ctx context.Context, info platform.WeightInfo, data io.Reader) error {
	resp, _, err := s.c.Do(ctx, rest.Request{
		Method: http.MethodPut,
		Path:   versionPath(info.Model, info.Version),
		Header: map[string]string{protocol.WeightsDigest: info.Digest},
		Body:   data,
		Size:   info.Bytes,
	})
	if err != nil {
		return errors.Annotate(err, "weights: put")
	}
	defer rest.DrainAndClose(resp)
	if resp.StatusCode != http.StatusOK {
		return failure(rest.NewStatusError(resp), "put")
	}
	return nil
}
