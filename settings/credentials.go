package settings

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"sync"
	"time"
)

// Credentials hold a certificate with its key and the authority that signed those of the other processes. They look at
// the files on every handshake and read them again when one has changed. Files that cannot be used leave the last good
// ones in place, because certificates are replaced one file after the other.
type Credentials struct {
	system   System
	settings TLSSettings
	mu       sync.Mutex
	modified [3]time.Time
	current  *tls.Certificate
	roots    *x509.CertPool
}

// NewCredentials reads the files.
func NewCredentials(system System, settings TLSSettings) (*Credentials, error) {
	c := &Credentials{
		system:   system,
		settings: settings,
	}
	if err := c.reload(); err != nil {
		return nil, err
	}
	return c, nil
}

// Client returns the configuration of outgoing connections. It checks that the authority signed the other side's
// certificate, and no host name, because processes are dialled by IP address and replaced at any time.
func (c *Credentials) Client() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			certificate, _ := c.latest()
			return certificate, nil
		},
		// VerifyConnection replaces the check of the host name by that of the authority.
		InsecureSkipVerify: true,
		VerifyConnection:   c.verify,
	}
}

// Server returns the configuration of incoming connections, which need a certificate of the authority.
func (c *Credentials) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			certificate, roots := c.latest()
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				Certificates: []tls.Certificate{*certificate},
				ClientAuth:   tls.RequireAndVerifyClientCert,
				ClientCAs:    roots,
			}, nil
		},
	}
}

// latest reads changed files and returns what is in use.
func (c *Credentials) latest() (*tls.Certificate, *x509.CertPool) {
	_ = c.reload()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.current, c.roots
}

func (c *Credentials) paths() [3]string {
	return [3]string{c.settings.Certificate, c.settings.Key, c.settings.Authority}
}

// reload reads the files if one of them has changed.
func (c *Credentials) reload() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	var modified [3]time.Time
	var contents [3][]byte
	for i, path := range c.paths() {
		at, err := c.system.Modified(path)
		if err != nil {
			return fmt.Errorf("tls: %w", err)
		}
		modified[i] = at
	}
	if c.current != nil && modified == c.modified {
		return nil
	}
	for i, path := range c.paths() {
		content, err := c.system.ReadFile(path)
		if err != nil {
			return fmt.Errorf("tls: %w", err)
		}
		contents[i] = content
	}
	certificate, err := tls.X509KeyPair(contents[0], contents[1])
	if err != nil {
		return fmt.Errorf("tls: certificate %s with key %s: %w", c.settings.Certificate, c.settings.Key, err)
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(contents[2]) {
		return fmt.Errorf("tls: authority %s: no certificate in it", c.settings.Authority)
	}
	c.current, c.roots, c.modified = &certificate, roots, modified
	return nil
}

func (c *Credentials) verify(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return errors.New("the other side showed no certificate")
	}
	_, roots := c.latest()
	intermediates := x509.NewCertPool()
	for _, certificate := range state.PeerCertificates[1:] {
		intermediates.AddCert(certificate)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots:         roots,
		Intermediates: intermediates,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	})
	if err != nil {
		return fmt.Errorf("certificate of the other side: %w", err)
	}
	return nil
}
