package runner_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// writeCertificate writes a self-signed certificate for the deployment's address, and its
// key.
func (d *deployment) writeCertificate() {
	d.t.Helper()
	private, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(d.t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "vrancea"}, IPAddresses: []net.IP{net.ParseIP(d.host)},
		NotBefore: time.Unix(0, 0), NotAfter: time.Unix(4_000_000_000, 0), IsCA: true, BasicConstraintsValid: true,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &private.PublicKey, private)
	require.NoError(d.t, err)
	raw, err := x509.MarshalECPrivateKey(private)
	require.NoError(d.t, err)
	d.write("cert.pem", string(pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})))
	d.write("cert.key", string(pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: raw})))
}

// With a certificate in the settings, callers and operators are served only over TLS.
func TestTLSForCallersAndOperators(t *testing.T) {
	d := start(t, 1, 1)
	d.writeCertificate()
	raw, err := os.ReadFile(d.path("n1.toml"))
	require.NoError(t, err)
	d.write("n1.toml", strings.Replace(string(raw), "[limits]", "[tls]\ncert = \"cert.pem\"\nkey = \"cert.key\"\n[limits]", 1))
	d.kill("n1")
	d.startNode("n1")

	command := exec.Command(filepath.Join(programs, "hyssoprudder"), "rule", "list",
		"-address", d.operatorsAddress("n1").String(), "-token", d.path("operators.token"), "-ca", d.path("cert.pem"))
	d.requireEventually("an operator over TLS", func() bool {
		again := exec.Command(command.Path, command.Args[1:]...)
		out, err := again.CombinedOutput()
		return err == nil && strings.Contains(string(out), "customer masons")
	})
	require.NotZero(t, d.command("rule", "list").code, "an operator without TLS is refused")

	pool := x509.NewCertPool()
	cert, err := os.ReadFile(d.path("cert.pem"))
	require.NoError(t, err)
	require.True(t, pool.AppendCertsFromPEM(cert))
	client := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}}}
	d.requireEventually("a booking over TLS", func() bool {
		req, err := http.NewRequest(http.MethodPost, fmt.Sprintf("https://%s:8101/orders", d.host), strings.NewReader("bags=7"))
		require.NoError(t, err)
		req.Header.Set("Authorization", "Bearer masons-demo")
		req.Header.Set("Idempotency-Key", "k1")
		resp, err := client.Do(req)
		if err != nil {
			return false
		}
		defer resp.Body.Close()
		return resp.StatusCode == http.StatusCreated && resp.Header.Get("Outcome") == "done"
	})
}
