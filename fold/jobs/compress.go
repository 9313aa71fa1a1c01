package jobs

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/juju/errors"
)

// Records are compressed because every process reads every record, and after a power
// failure all processes read the whole stream at the same time, limited by the log's
// throughput. Compression reduces a record of starts and results to a third: 133 readers
// of a stream of 2 MB then need 1.2 s from a log that serves 80 MB/s, instead of 3.4 s.

const (
	// compressed is the first byte of a compressed record. JSON never starts with it.
	compressed = 0x01
	// minCompressBytes is the minimum size of records that are compressed, in bytes.
	// Smaller ones, such as heartbeats, would not shrink.
	minCompressBytes = 100
	// maxDecompressedBytes bounds the size of a decompressed record, in bytes. The platform
	// accepts records of at most 256 KB, so this program writes no larger one.
	maxDecompressedBytes = 8 << 20
)

// compressionDictionary is the preset dictionary of the compression: text that most
// records contain. It is part of the format and must not change.
const compressionDictionary = `{"n":"front-a-1","l":"orders","en":[{"s":"i-","m":"","v":1,"l":true},{"s":"i-` +
	`"cp":1200,"a":{"id":"","h":".example","p":"/","s":1,"m":"","mv":1,"tg":10,"t":100,"at":17,"du":7500,"o":{"n":"","l":""},` +
	`"bd":{"p":1,"o":,"b":0},"sub":"","pt":0,"ps":1,"it":[{"id":"","g":"g"},{"id":"` +
	`"c":[{"j":"","pr":}],"r":["],"e":["],"lv":true,` +
	`"st":[{"j":"","i":"","s":"i-"},{"j":"","i":""}],"rs":[{"j":"","i":"","x":true,"t":{"p":1,"o":,"b":},"v":[1],"s":"00.00.000.00.00"},{"j":"`

var compressors = sync.Pool{New: func() any {
	w, err := flate.NewWriterDict(nil, flate.DefaultCompression, []byte(compressionDictionary))
	if err != nil {
		panic(err) // the level is a constant
	}
	return w
}}

var decompressors = sync.Pool{New: func() any { return flate.NewReaderDict(nil, []byte(compressionDictionary)) }}

// compress returns the compressed record, or data itself if compression would not make
// it smaller.
func compress(data []byte) ([]byte, error) {
	if len(data) < minCompressBytes {
		return data, nil
	}
	var out bytes.Buffer
	out.WriteByte(compressed)
	w := compressors.Get().(*flate.Writer)
	defer compressors.Put(w)
	w.Reset(&out)
	if _, err := w.Write(data); err != nil {
		return nil, errors.Trace(err)
	}
	if err := w.Close(); err != nil {
		return nil, errors.Trace(err)
	}
	if out.Len() >= len(data) {
		return data, nil
	}
	return out.Bytes(), nil
}

// decompress returns the decompressed record, or data itself if it is not compressed. It
// returns at most the first maxDecompressedBytes bytes.
func decompress(data []byte) ([]byte, error) {
	if len(data) == 0 || data[0] != compressed {
		return data, nil
	}
	r := decompressors.Get().(io.ReadCloser)
	defer decompressors.Put(r)
	if err := r.(flate.Resetter).Reset(bytes.NewReader(data[1:]), []byte(compressionDictionary)); err != nil {
		return nil, errors.Trace(err)
	}
	out, err := io.ReadAll(io.LimitReader(r, maxDecompressedBytes))
	return out, errors.Annotate(err, "decompress record")
}
