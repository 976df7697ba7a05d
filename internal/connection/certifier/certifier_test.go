package certifier_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hyssoprudder/internal/connection/certifier"
	"hyssoprudder/internal/process/clock"
)

// write creates a certificate with the serial number in dir and sets the modification
// time of its files.
func write(t *testing.T, dir string, serial int64, changed time.Time) (cert, key string) {
	t.Helper()
	private, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: "node"}, NotAfter: time.Unix(2_000_000_000, 0)}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &private.PublicKey, private)
	require.NoError(t, err)
	raw, err := x509.MarshalECPrivateKey(private)
	require.NoError(t, err)
	cert, key = filepath.Join(dir, "cert.pem"), filepath.Join(dir, "key.pem")
	require.NoError(t, os.WriteFile(cert, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), 0o600))
	require.NoError(t, os.WriteFile(key, pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: raw}), 0o600))
	for _, file := range []string{cert, key} {
		require.NoError(t, os.Chtimes(file, changed, changed))
	}
	return cert, key
}

func serial(t *testing.T, config *tls.Config) int64 {
	t.Helper()
	pair, err := config.GetCertificate(nil)
	require.NoError(t, err)
	parsed, err := x509.ParseCertificate(pair.Certificate[0])
	require.NoError(t, err)
	return parsed.SerialNumber.Int64()
}

func TestChangedCertificateIsTakenUpAndABrokenOneIsNot(t *testing.T) {
	dir := t.TempDir()
	start := time.Unix(1_800_000_000, 0)
	c := clock.NewManual(start)
	var reports []error
	cert, key := write(t, dir, 1, start)
	f, err := certifier.New(cert, key, c, func(err error) { reports = append(reports, err) })
	require.NoError(t, err)
	config := f.Config()
	require.EqualValues(t, 1, serial(t, config))

	write(t, dir, 2, start.Add(time.Minute))
	c.Advance(2 * time.Second)
	require.EqualValues(t, 2, serial(t, config))

	require.NoError(t, os.WriteFile(cert, []byte("broken"), 0o600))
	c.Advance(2 * time.Second)
	require.EqualValues(t, 2, serial(t, config))
	require.Len(t, reports, 1)
}
