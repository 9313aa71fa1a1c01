package httpengine

import (
	"bytes"
	"errors"
	"io"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"

	"dandelionsill.org/platform"
)

// FuzzStream checks that an engine's bytes are decoded to the same chunks however they are
// split in transit, and that only an answer with a finish reason ends with io.EOF.
func FuzzStream(f *testing.F) {
	for _, seed := range []string{
		`data: {"choices":[{"text":"a","finish_reason":null}],"tokens":1,"weights_version":3,"boot":"b"}` + "\n\n" + `data: {"choices":[{"text":"","finish_reason":"length"}]}` + "\n\ndata: [DONE]\n\n",
		"data: [DONE]\n", ": comment\r\n\r\ndata:{}\r\n", `data: {"error":{"message":"x"}}`, "data: null\n", `data: {"choices":[{"finish_reason":""}],"tokens":-1}`,
		`data: {"choices":[{"finish_reason":"stop"}],"tokens":99999999999999999999}`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		atOnce, atOnceErr := readChunks(bytes.NewReader(body))
		byteByByte, byteByByteErr := readChunks(iotest.OneByteReader(bytes.NewReader(body)))
		require.Equal(t, atOnce, byteByByte)
		require.Equal(t, errors.Is(atOnceErr, io.EOF), errors.Is(byteByByteErr, io.EOF))
		n := len(atOnce)
		require.Equal(t, errors.Is(atOnceErr, io.EOF), n > 0 && atOnce[n-1].Finish != "", "%v", atOnceErr)
		for _, c := range atOnce {
			require.GreaterOrEqual(t, c.Tokens, 0)
		}
	})
}

func readChunks(r io.Reader) ([]platform.Chunk, error) {
	s := newStream(io.NopCloser(r), func() {})
	var chunks []platform.Chunk
	for {
		c, err := s.Next()
		if err != nil {
			return chunks, err
		}
		chunks = append(chunks, c)
	}
}
