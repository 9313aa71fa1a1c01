package budget

import (
	"io"

	"github.com/juju/errors"
)

// readStep is the first step in which bytes of unknown length are read; later steps double what was read.
const readStep = 4 << 10

// Errors of ReadAll, besides those of the reader.
var (
	ErrTooLarge = errors.New("more bytes than the limit")
	ErrNoRoom   = errors.New("no room in the budget")
)

// ReadAll reads length bytes, or to the end if length is negative, but at most limit bytes. It takes them from the share before
// it reads them, by GrowLarge. Without a share, it takes memory only for bytes that have arrived.
func (r *Reservation) ReadAll(from io.Reader, length, limit int64) ([]byte, error) {
	if length > limit {
		return nil, ErrTooLarge
	}
	if length < 0 || r.share == nil {
		return r.readInSteps(from, limit)
	}
	if !r.GrowLarge(length) {
		return nil, ErrNoRoom
	}
	data := make([]byte, length)
	_, err := io.ReadFull(from, data)
	return data, err
}

// readInSteps reads bytes of unknown length.
func (r *Reservation) readInSteps(from io.Reader, limit int64) ([]byte, error) {
	var data []byte
	for {
		if len(data) == cap(data) {
			step := min(max(readStep, int64(cap(data))), limit+1-int64(cap(data)))
			if !r.GrowLarge(step) {
				return nil, ErrNoRoom
			}
			larger := make([]byte, len(data), int64(cap(data))+step)
			copy(larger, data)
			data = larger
		}
		n, err := from.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if int64(len(data)) > limit {
			return nil, ErrTooLarge
		}
		if err == io.EOF {
			return data, nil
		}
		if err != nil {
			return nil, err
		}
	}
}
