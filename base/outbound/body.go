package outbound

import (
	"io"

	"github.com/juju/errors"
)

// ReadBody reads a body of at most limit bytes. A longer one is an ErrMalformed error: its server may never end it.
func ReadBody(body io.Reader, limit int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err != nil {
		return nil, errors.Trace(err)
	}
	if int64(len(data)) > limit {
		return nil, malformed("body of over %d bytes", limit)
	}
	return data, nil
}
