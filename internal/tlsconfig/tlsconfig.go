// Package tlsconfig builds the TLS configurations of a process from the certificate
// and key files named in its settings.
package tlsconfig

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/joomcode/errorx"

	"github.com/poplarlever/poplarlever/internal/settings"
)

var errorNamespace = errorx.NewNamespace("tlsconfig")

// ErrNoCertificate is returned for a CA file without a PEM certificate.
var ErrNoCertificate = errorNamespace.NewType("no_certificate")

// Config holds the TLS configurations for a process's server and clients. Both are
// nil when TLS is off.
type Config struct {
	Server *tls.Config
	Client *tls.Config
}

// Load reads the certificate, key and CA files. Errors name the setting at fault.
func Load(t settings.TLS, source settings.Source) (Config, error) {
	if t.Mode != settings.TLSOn {
		return Config{}, nil
	}
	certificate, err := tls.LoadX509KeyPair(t.Certificate, t.Key)
	if err != nil {
		return Config{}, source.Fault("tls.certificate", err)
	}
	client, err := Client(t.CA)
	if err != nil {
		return Config{}, source.Fault("tls.ca", err)
	}
	client.Certificates = []tls.Certificate{certificate}
	return Config{
		Server: &tls.Config{Certificates: []tls.Certificate{certificate}, MinVersion: tls.VersionTLS13},
		Client: client,
	}, nil
}

// Client returns a client configuration that trusts the CA certificates in the PEM
// file and presents no certificate.
func Client(caFile string) (*tls.Config, error) {
	caPEM, err := os.ReadFile(caFile)
	if err != nil {
		return nil, err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(caPEM) {
		return nil, ErrNoCertificate.New("%s contains no PEM certificate", caFile)
	}
	return &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS13}, nil
}

// Scheme returns the URL scheme: "https" when TLS is on and "http" otherwise.
func (c Config) Scheme() string {
	if c.Client != nil {
		return "https"
	}
	return "http"
}
