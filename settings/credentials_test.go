package settings

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"fmt"
	"math/big"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// fakeFileSystem is an in-memory FileSystem with a single modification time for all files.
type fakeFileSystem struct {
	files   map[string][]byte
	modTime time.Time
}

func (f *fakeFileSystem) LastModified(string) (time.Time, error) {
	return f.modTime, nil
}

func (f *fakeFileSystem) ReadFile(path string) ([]byte, error) {
	data, ok := f.files[path]
	if !ok {
		return nil, fmt.Errorf("no file %s", path)
	}
	return data, nil
}

// replaceCertificates replaces the files with a new CA certificate and a certificate signed by it.
func (f *fakeFileSystem) replaceCertificates(t *testing.T, serial int64) {
	t.Helper()
	authority, authorityKey := newCertificate(t, serial, nil, nil)
	leaf, leafKey := newCertificate(t, serial, authority, authorityKey)
	der, err := x509.MarshalECPrivateKey(leafKey)
	require.NoError(t, err)
	f.files = map[string][]byte{
		"authority":   pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: authority.Raw}),
		"certificate": pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: leaf.Raw}),
		"key":         pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: der}),
	}
	f.modTime = f.modTime.Add(time.Second)
}

func newCertificate(
	t *testing.T, serial int64, parent *x509.Certificate, parentKey *ecdsa.PrivateKey,
) (*x509.Certificate, *ecdsa.PrivateKey) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(serial),
		Subject:               pkix.Name{CommonName: "test"},
		NotAfter:              time.Date(2100, 1, 1, 0, 0, 0, 0, time.UTC),
		BasicConstraintsValid: true,
		IsCA:                  parent == nil,
		ExtKeyUsage:           []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	if parent == nil {
		parent, parentKey = template, key
	}
	der, err := x509.CreateCertificate(rand.Reader, template, parent, key.Public(), parentKey)
	require.NoError(t, err)
	certificate, err := x509.ParseCertificate(der)
	require.NoError(t, err)
	return certificate, key
}

// handshake connects over TCP, because in a failing handshake both sides write at once, which would block on a pipe.
func handshake(t *testing.T, server, client *tls.Config) error {
	t.Helper()
	listener, err := tls.Listen("tcp", "127.0.0.1:0", server)
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	done := make(chan error, 1)
	go func() {
		conn, acceptErr := listener.Accept()
		if acceptErr != nil {
			done <- acceptErr
			return
		}
		defer func() { _ = conn.Close() }()
		_, writeErr := conn.Write([]byte("x"))
		done <- writeErr
	}()
	conn, err := tls.Dial("tcp", listener.Addr().String(), client)
	if err != nil {
		return errors.Join(err, <-done)
	}
	defer func() { _ = conn.Close() }()
	_, err = conn.Read(make([]byte, 1))
	return errors.Join(err, <-done)
}

// TestCredentials verifies that certificates of another CA are rejected, that changed certificates are loaded without a
// restart, and that the previous ones remain in use while the files are incomplete.
func TestCredentials(t *testing.T) {
	files := TLSSettings{
		Certificate:   "certificate",
		Key:           "key",
		CACertificate: "authority",
	}
	trustedFiles, foreignFiles := &fakeFileSystem{}, &fakeFileSystem{}
	_, err := NewCredentials(trustedFiles, files)
	require.Error(t, err)
	trustedFiles.replaceCertificates(t, 1)
	foreignFiles.replaceCertificates(t, 2)
	server, err := NewCredentials(trustedFiles, files)
	require.NoError(t, err)
	client, err := NewCredentials(trustedFiles, files)
	require.NoError(t, err)
	untrusted, err := NewCredentials(foreignFiles, files)
	require.NoError(t, err)
	require.NoError(t, handshake(t, server.ServerConfig(), client.ClientConfig()))
	require.Error(t, handshake(t, server.ServerConfig(), untrusted.ClientConfig()))
	require.Error(t, handshake(t, untrusted.ServerConfig(), client.ClientConfig()))
	require.Error(t, handshake(t, server.ServerConfig(), &tls.Config{InsecureSkipVerify: true}))

	config := server.ServerConfig()
	trustedFiles.replaceCertificates(t, 3)
	require.NoError(t, handshake(t, config, client.ClientConfig()))
	certificate, _ := server.latestCertificates()
	require.Equal(t, int64(3), certificate.Leaf.SerialNumber.Int64())
	trustedFiles.files["key"] = nil
	trustedFiles.modTime = trustedFiles.modTime.Add(time.Second)
	require.NoError(t, handshake(t, config, client.ClientConfig()))
}
