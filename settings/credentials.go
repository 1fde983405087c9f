package settings

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"sync"
	"time"
)

// Credentials holds the certificate and key of a process and the CA certificate that verifies its peers. Every
// handshake checks the modification times of the files and reloads them if one has changed. If the files are invalid,
// the previous ones remain in use, because the files are replaced one at a time.
type Credentials struct {
	files             FileSystem
	settings          TLSSettings
	mu                sync.Mutex
	modTimes          [3]time.Time
	loadedCertificate *tls.Certificate
	rootCAs           *x509.CertPool
}

// NewCredentials loads the files named in the settings.
func NewCredentials(files FileSystem, settings TLSSettings) (*Credentials, error) {
	c := &Credentials{
		files:    files,
		settings: settings,
	}
	if err := c.loadChangedFiles(); err != nil {
		return nil, err
	}
	return c, nil
}

// ClientConfig returns the TLS configuration of outgoing connections. It verifies that the CA signed the certificate of
// the peer, but not the host name, because processes are dialed by IP address and can be replaced at any time.
func (c *Credentials) ClientConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			certificate, _ := c.latestCertificates()
			return certificate, nil
		},
		// Skips the default verification, which includes the host name; VerifyConnection verifies the CA.
		InsecureSkipVerify: true,
		VerifyConnection:   c.verifyPeer,
	}
}

// ServerConfig returns the TLS configuration of incoming connections. Clients must present a certificate signed by the
// CA.
func (c *Credentials) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			certificate, rootCAs := c.latestCertificates()
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				Certificates: []tls.Certificate{*certificate},
				ClientAuth:   tls.RequireAndVerifyClientCert,
				ClientCAs:    rootCAs,
			}, nil
		},
	}
}

// latestCertificates reloads changed files and returns the certificate and the root CAs in use.
func (c *Credentials) latestCertificates() (*tls.Certificate, *x509.CertPool) {
	_ = c.loadChangedFiles()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.loadedCertificate, c.rootCAs
}

func (c *Credentials) paths() [3]string {
	return [3]string{c.settings.Certificate, c.settings.Key, c.settings.CACertificate}
}

// loadChangedFiles loads all files if one of them has changed since the last successful load.
func (c *Credentials) loadChangedFiles() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	var modTimes [3]time.Time
	var contents [3][]byte
	for i, path := range c.paths() {
		modTime, err := c.files.LastModified(path)
		if err != nil {
			return fmt.Errorf("tls: %w", err)
		}
		modTimes[i] = modTime
	}
	if c.loadedCertificate != nil && modTimes == c.modTimes {
		return nil
	}
	for i, path := range c.paths() {
		content, err := c.files.ReadFile(path)
		if err != nil {
			return fmt.Errorf("tls: %w", err)
		}
		contents[i] = content
	}
	certificate, err := tls.X509KeyPair(contents[0], contents[1])
	if err != nil {
		return fmt.Errorf("tls: certificate %s with key %s: %w", c.settings.Certificate, c.settings.Key, err)
	}
	rootCAs := x509.NewCertPool()
	if !rootCAs.AppendCertsFromPEM(contents[2]) {
		return fmt.Errorf("tls: authority %s: file contains no certificate", c.settings.CACertificate)
	}
	c.loadedCertificate, c.rootCAs, c.modTimes = &certificate, rootCAs, modTimes
	return nil
}

func (c *Credentials) verifyPeer(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return errors.New("peer presented no certificate")
	}
	_, rootCAs := c.latestCertificates()
	intermediates := x509.NewCertPool()
	for _, certificate := range state.PeerCertificates[1:] {
		intermediates.AddCert(certificate)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots:         rootCAs,
		Intermediates: intermediates,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	})
	if err != nil {
		return fmt.Errorf("verify peer certificate: %w", err)
	}
	return nil
}
