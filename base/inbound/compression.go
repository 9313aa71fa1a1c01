package inbound

import (
	"io"

	"github.com/juju/errors"
	"google.golang.org/grpc/encoding"
	"google.golang.org/grpc/encoding/gzip" // registered before noCompression is
)

// errCompression is the error of calls whose messages or answers would be compressed.
var errCompression = errors.New("compression is not supported")

// noCompression takes the place of gzip, which exporters of traces register with grpc-go for all servers of the process. Small
// messages that unpack to large ones, and the buffers that compressed answers need, would be counted by nobody.
type noCompression struct{}

func init() { encoding.RegisterCompressor(noCompression{}) }

// Name implements encoding.Compressor.
func (noCompression) Name() string { return gzip.Name }

// Compress implements encoding.Compressor.
func (noCompression) Compress(io.Writer) (io.WriteCloser, error) { return nil, errCompression }

// Decompress implements encoding.Compressor.
func (noCompression) Decompress(io.Reader) (io.Reader, error) { return nil, errCompression }
