// Package certifier serves a TLS certificate from files and reloads it when the files
// change. Existing connections are not affected.
package certifier

import (
	"crypto/tls"
	"fmt"
	"os"
	"sync"
	"time"

	"hyssoprudder/internal/process/clock"
)

// checkInterval is the minimum time between two checks of the files.
const checkInterval = time.Second

// Certifier holds the certificate in use. It is safe for concurrent use.
type Certifier struct {
	cert   string
	key    string
	clock  clock.Clock
	report func(error)

	mu        sync.Mutex
	current   *tls.Certificate
	loaded    fingerprint
	checkedAt time.Time
}

// fingerprint holds the modification times and sizes of the two files, to detect changes.
type fingerprint struct {
	certTime, keyTime time.Time
	certSize, keySize int64
}

// New loads the certificate and its key from PEM files. If a changed certificate
// cannot be loaded later, the error is passed to report and the old one stays in use.
func New(cert, key string, c clock.Clock, report func(error)) (*Certifier, error) {
	f := &Certifier{cert: cert, key: key, clock: c, report: report}
	seen, err := f.statFiles()
	if err != nil {
		return nil, err
	}
	if err := f.load(seen); err != nil {
		return nil, err
	}
	return f, nil
}

// Config returns the TLS configuration of a server that presents the certificate.
func (f *Certifier) Config() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return f.certificate(), nil
		},
	}
}

func (f *Certifier) certificate() *tls.Certificate {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	if now.Sub(f.checkedAt) < checkInterval {
		return f.current
	}
	f.checkedAt = now
	seen, err := f.statFiles()
	if err == nil && seen != f.loaded {
		err = f.load(seen)
	}
	if err != nil {
		f.report(err)
	}
	return f.current
}

func (f *Certifier) load(seen fingerprint) error {
	pair, err := tls.LoadX509KeyPair(f.cert, f.key)
	if err != nil {
		return fmt.Errorf("load certificate %s: %w", f.cert, err)
	}
	f.current = &pair
	f.loaded = seen
	return nil
}

func (f *Certifier) statFiles() (fingerprint, error) {
	cert, err := os.Stat(f.cert)
	if err != nil {
		return fingerprint{}, fmt.Errorf("check certificate file: %w", err)
	}
	key, err := os.Stat(f.key)
	if err != nil {
		return fingerprint{}, fmt.Errorf("check certificate key file: %w", err)
	}
	return fingerprint{certTime: cert.ModTime(), keyTime: key.ModTime(), certSize: cert.Size(), keySize: key.Size()}, nil
}
