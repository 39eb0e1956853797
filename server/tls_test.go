package server

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"io"
	"math/big"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"hornbeamcroft/connector"
	"hornbeamcroft/loader"
)

// writeCertificate writes a certificate and its key to the files name.crt and name.key in dir. The certificate is
// signed with parentKey, or with its own key if parent is nil.
func writeCertificate(t *testing.T, dir, name string, parent *x509.Certificate, parentKey *ecdsa.PrivateKey,
) (*x509.Certificate, *ecdsa.PrivateKey) {
	t.Helper()
	is := is.New(t)
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	is.NoErr(err)
	c := &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()), IsCA: parent == nil, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
	}
	if parent == nil {
		parent, parentKey = c, key
	}
	der, err := x509.CreateCertificate(rand.Reader, c, parent, &key.PublicKey, parentKey)
	is.NoErr(err)
	keyDER, err := x509.MarshalECPrivateKey(key)
	is.NoErr(err)
	for file, block := range map[string]*pem.Block{
		name + ".crt": {Type: "CERTIFICATE", Bytes: der},
		name + ".key": {Type: "EC PRIVATE KEY", Bytes: keyDER},
	} {
		is.NoErr(os.WriteFile(filepath.Join(dir, file), pem.EncodeToMemory(block), 0o600))
	}
	return c, key
}

// TestLinkNeedsCertificate guards against a link from a peer that presents no certificate of the configured authority.
func TestLinkNeedsCertificate(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	ca, caKey := writeCertificate(t, dir, "ca", nil, nil)
	writeCertificate(t, dir, "node", ca, caKey)
	accept, dial, err := tlsConfigs(loader.SecuritySettings{
		TLSCert: filepath.Join(dir, "node.crt"), TLSKey: filepath.Join(dir, "node.key"), TLSCA: filepath.Join(dir, "ca.crt"),
	})
	is.NoErr(err)
	s := &Server{links: &connector.Connector{TLS: dial}}
	hs := httptest.NewUnstartedServer(http.HandlerFunc(s.acceptLink))
	hs.TLS = accept
	hs.Config.ErrorLog = nil
	hs.StartTLS()
	defer hs.Close()
	status := func(cfg *tls.Config) int {
		client := http.Client{Transport: &http.Transport{TLSClientConfig: cfg}}
		resp, err := client.Get(hs.URL + "/link")
		is.NoErr(err)
		defer func() { _ = resp.Body.Close() }()
		_, _ = io.Copy(io.Discard, resp.Body)
		return resp.StatusCode
	}
	is.Equal(status(&tls.Config{RootCAs: dial.RootCAs}), http.StatusUnauthorized)
	is.Equal(status(dial), http.StatusBadRequest) // accepted, but not a WebSocket handshake
}
