package server

import (
	"crypto/tls"
	"crypto/x509"
	"net/http"
	"os"

	"github.com/go-faster/errors"

	"hornbeamcroft/loader"
)

// tlsConfigs returns the TLS configurations for accepted and for dialed connections, or nil if the settings name no
// certificate. The certificate is read at each handshake, so that a renewed file is used without a restart.
func tlsConfigs(cfg loader.SecuritySettings) (accept, dial *tls.Config, err error) {
	if cfg.TLSCert == "" {
		return nil, nil, nil
	}
	pem, err := os.ReadFile(cfg.TLSCA)
	if err != nil {
		return nil, nil, errors.Wrap(err, "tls-ca")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, nil, errors.Errorf("tls-ca: no certificate in %s", cfg.TLSCA)
	}
	load := func() (*tls.Certificate, error) {
		c, err := tls.LoadX509KeyPair(cfg.TLSCert, cfg.TLSKey)
		if err != nil {
			return nil, errors.Wrap(err, "tls-cert")
		}
		return &c, nil
	}
	if _, err := load(); err != nil {
		return nil, nil, err
	}
	handshakeConfig := &tls.Config{
		MinVersion:     tls.VersionTLS13,
		ClientCAs:      pool,
		ClientAuth:     tls.VerifyClientCertIfGiven,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return load() },
	}
	// The HTTP server adds the certificate that it read at the start to the configuration it is given, and would use
	// that certificate for peers that connect by IP address. GetConfigForClient replaces the configuration at each
	// handshake.
	accept = &tls.Config{
		MinVersion:         tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) { return handshakeConfig, nil },
	}
	dial = &tls.Config{
		MinVersion:           tls.VersionTLS13,
		RootCAs:              pool,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return load() },
	}
	return accept, dial, nil
}

// acceptLink accepts a link of another node. With TLS, the peer must have presented a certificate that the configured
// certificate authority signed.
func (s *Server) acceptLink(w http.ResponseWriter, r *http.Request) {
	if s.links.TLS != nil && (r.TLS == nil || len(r.TLS.VerifiedChains) == 0) {
		http.Error(w, "a certificate is required", http.StatusUnauthorized)
		return
	}
	s.links.Accept(w, r)
}
