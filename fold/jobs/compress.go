package jobs

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/juju/errors"
)

// Every process reads every record, and after a loss of power all of them read the past
// at one moment: its bytes are what that takes. Packed, a record of starts and results
// has a third of its bytes; 133 readers of a past of 2 MB take 1.2 s of a log that gives
// 80 MB/s, in place of 3.4 s.

const (
	// compressed is the first byte of a compressed record; JSON begins with another.
	compressed = 0x01
	// minCompressBytes is the size from which on records are packed, in bytes: an empty one, a
	// sign of life, is no smaller for it.
	minCompressBytes = 100
	// maxDecompressedBytes bounds an unpacked record, in bytes: the platform takes records of
	// 256 KB, and what is larger was not written by us.
	maxDecompressedBytes = 8 << 20
)

// compressionDictionary is what records begin with in common: the packer refers to it. It is a
// part of the format, and may not change.
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

// compress returns a record's bytes packed, or as they are where that is no larger.
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

// decompress returns the bytes that were packed, or those that were not as they are.
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
	return out, errors.Annotate(err, "packed record")
}
