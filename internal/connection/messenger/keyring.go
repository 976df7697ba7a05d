package messenger

import (
	"crypto/hmac"
	"crypto/sha256"
	"errors"
	"hash"
)

const (
	macSize    = 16 // bytes of the truncated HMAC-SHA256
	minKeySize = 16 // bytes
	nonceSize  = 16 // bytes
)

// signer computes authentication codes under one key. It is not safe for
// concurrent use.
type signer struct {
	mac hash.Hash
	sum [sha256.Size]byte
}

func newSigner(key []byte) *signer {
	return &signer{mac: hmac.New(sha256.New, key)}
}

// sign returns the authentication code over parts. The slice is valid until the
// next call.
func (s *signer) sign(parts ...[]byte) []byte {
	s.mac.Reset()
	for _, p := range parts {
		s.mac.Write(p)
	}
	return s.mac.Sum(s.sum[:0])[:macSize]
}

// verify reports whether code is the authentication code over parts.
func (s *signer) verify(code []byte, parts ...[]byte) bool {
	return hmac.Equal(code, s.sign(parts...))
}

// derive returns the key of one direction of a connection.
func derive(key []byte, parts ...[]byte) []byte {
	mac := hmac.New(sha256.New, key)
	for _, p := range parts {
		mac.Write(p)
	}
	return mac.Sum(nil)
}

// keyring holds the accepted keys. The first one is used for signing.
type keyring [][]byte

func newKeyring(first []byte, others [][]byte) (keyring, error) {
	keys := append(keyring{first}, others...)
	for _, k := range keys {
		if len(k) < minKeySize {
			return nil, errors.New("key shorter than 16 bytes")
		}
	}
	return keys, nil
}

// find returns the key under which code is the authentication code over parts.
func (k keyring) find(code []byte, parts ...[]byte) ([]byte, bool) {
	for _, key := range k {
		if newSigner(key).verify(code, parts...) {
			return key, true
		}
	}
	return nil, false
}
