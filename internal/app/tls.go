package app

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/rotisserie/eris"
)

// TLSFiles names the files of a certificate and its key, in PEM form. Both or
// neither are set.
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

// clientTLS returns the configuration towards clients, or nil where clients
// are served in the clear.
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

// peerTLS returns the configuration of links between instances, or nil where
// they are in the clear. Each side shows its certificate and checks the
// other's against the common authority. The name in the certificate does not
// count, since peers are reached by number; the keyed handshake inside says who
// they are.
func peerTLS(settings Settings) (*tls.Config, error) {
	if !settings.PeerTLS.Enabled() {
		return nil, nil
	}
	certificate, err := settings.PeerTLS.load()
	if err != nil {
		return nil, err
	}
	authority, err := loadAuthority(settings.PeerTLSAuthority)
	if err != nil {
		return nil, err
	}
	return &tls.Config{
		Certificates: []tls.Certificate{certificate},
		ClientCAs:    authority,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		MinVersion:   tls.VersionTLS13,
		// The standard check would insist on a name; verifyChain does the rest.
		InsecureSkipVerify: true, //nolint:gosec // verifyChain checks the chain
		VerifyConnection:   verifyChain(authority),
	}, nil
}

func loadAuthority(path string) (*x509.CertPool, error) {
	document, err := os.ReadFile(path) //nolint:gosec // the operator names the file
	if err != nil {
		return nil, eris.Wrap(err, "load authority of peers")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(document) {
		return nil, eris.Errorf("load authority of peers: no certificate in %s", path)
	}
	return pool, nil
}

// verifyChain checks the peer's certificate against the authority, but not its
// name.
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
