package forwarder

import (
	"crypto/sha256"
	"encoding/binary"
	"strings"
)

// fingerprint returns a hash of what makes two calls the same request: method, host, target, customer and body. It
// is the same at all nodes. A caller cannot make a request with the fingerprint of another caller's.
func (x *exchange) fingerprint() uint64 {
	if x.hash == nil {
		h := sha256.New()
		for _, part := range []string{x.call.Method, strings.ToLower(x.call.Host), x.call.Target, x.customerName()} {
			// The lengths keep the parts apart.
			_, _ = h.Write(binary.BigEndian.AppendUint64(nil, uint64(len(part))))
			_, _ = h.Write([]byte(part))
		}
		_, _ = h.Write(x.body)
		sum := binary.BigEndian.Uint64(h.Sum(nil))
		x.hash = &sum
	}
	return *x.hash
}
