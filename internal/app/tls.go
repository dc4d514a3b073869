package app

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/rotisserie/eris"
)

// TLSFiles holds the paths of a certificate and its key in PEM format. Either
// both or neither are set.
type TLSFiles struct {
	Certificate string
	Key         string
}

// Enabled reports whether a certificate is configured.
func (f TLSFiles) Enabled() bool {
	return f.Certificate != ""
}

// load reads the certificate.
func (f TLSFiles) load() (tls.Certificate, error) {
	certificate, err := tls.LoadX509KeyPair(f.Certificate, f.Key)
	return certificate, eris.Wrapf(err, "load certificate %s", f.Certificate)
}

// clientTLS returns the TLS configuration for client connections, or nil if TLS
// is not configured for them.
func clientTLS(settings Settings) (*tls.Config, error) {
	if !settings.ClientTLS.Enabled() {
		return nil, nil
	}
	certificate, err := settings.ClientTLS.load()
	if err != nil {
		return nil, err
	}
	return &tls.Config{Certificates: []tls.Certificate{certificate}, MinVersion: tls.VersionTLS12}, nil
}

// peerTLS returns the TLS configuration of links between instances, or nil if
// they are not encrypted. Both sides present a certificate, which the other
// checks against the common certificate authority. The name in the certificate
// is ignored because peers are addressed by IP address; the handshake with the
// shared keys inside the TLS connection identifies them.
func peerTLS(settings Settings) (*tls.Config, error) {
	if !settings.PeerTLS.Enabled() {
		return nil, nil
	}
	certificate, err := settings.PeerTLS.load()
	if err != nil {
		return nil, err
	}
	authority, err := loadCertificateAuthority(settings.PeerTLSAuthority)
	if err != nil {
		return nil, err
	}
	return &tls.Config{
		Certificates: []tls.Certificate{certificate},
		ClientCAs:    authority,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		MinVersion:   tls.VersionTLS13,
		// The standard check also requires a matching name; verifyChain checks
		// everything else.
		InsecureSkipVerify: true, //nolint:gosec // verifyChain checks the chain
		VerifyConnection:   verifyChain(authority),
	}, nil
}

func loadCertificateAuthority(path string) (*x509.CertPool, error) {
	document, err := os.ReadFile(path) //nolint:gosec // the operator names the file
	if err != nil {
		return nil, eris.Wrap(err, "load certificate authority of peers")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(document) {
		return nil, eris.Errorf("load certificate authority of peers: no certificate in %s", path)
	}
	return pool, nil
}

// verifyChain returns a check of the peer's certificate chain against the
// authority. It does not check the name.
func verifyChain(authority *x509.CertPool) func(tls.ConnectionState) error {
	return func(connection tls.ConnectionState) error {
		if len(connection.PeerCertificates) == 0 {
			return eris.New("the peer shows no certificate")
		}
		intermediates := x509.NewCertPool()
		for _, certificate := range connection.PeerCertificates[1:] {
			intermediates.AddCert(certificate)
		}
		_, err := connection.PeerCertificates[0].Verify(x509.VerifyOptions{
			Roots: authority, Intermediates: intermediates,
			KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
		})
		return eris.Wrap(err, "verify the peer's certificate")
	}
}
