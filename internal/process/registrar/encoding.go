package registrar

import (
	"fmt"

	"github.com/vmihailenco/msgpack/v5"

	"hyssoprudder/internal/process/compressor"
)

// Encode returns the ruleset in the form in which the replicated log holds it: msgpack, compressed.
func (r *Ruleset) Encode() ([]byte, error) {
	body, err := msgpack.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("encode ruleset: %w", err)
	}
	return compressor.Compress(body)
}

// Decode returns the ruleset that Encode encoded.
func Decode(body []byte) (*Ruleset, error) {
	raw, err := compressor.Decompress(body)
	if err != nil {
		return nil, fmt.Errorf("decode ruleset: %w", err)
	}
	r := new(Ruleset)
	if err := msgpack.Unmarshal(raw, r); err != nil {
		return nil, fmt.Errorf("decode ruleset: %w", err)
	}
	return r, nil
}
