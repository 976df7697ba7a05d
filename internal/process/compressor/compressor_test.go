package compressor_test

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"hyssoprudder/internal/process/compressor"
)

func TestDecompressReturnsWhatWasCompressed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		data := rapid.SliceOfN(rapid.Byte(), 0, 10000).Draw(t, "data")
		compressed, err := compressor.Compress(data)
		require.NoError(t, err)
		got, err := compressor.Decompress(compressed)
		require.NoError(t, err)
		require.True(t, bytes.Equal(data, got))
		if len(compressed) > 1 {
			_, err = compressor.Decompress(compressed[:len(compressed)-1])
			require.Error(t, err, "truncated data is an error")
		}
	})
}

func TestDataOfEarlierVersionsIsReturnedAsItIs(t *testing.T) {
	for name, data := range map[string]string{"JSON": `{"a":1}`, "msgpack": "\x81\xa1a\x01", "none": ""} {
		t.Run(name, func(t *testing.T) {
			got, err := compressor.Decompress([]byte(data))
			require.NoError(t, err)
			require.Equal(t, data, string(got))
		})
	}
}

func ExampleCompress() {
	compressed, err := compressor.Compress(bytes.Repeat([]byte("route"), 1000))
	fmt.Println(len(compressed) < 100, err)
	// Output: true <nil>
}
