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

// memory is a System whose files change at known times.
type memory struct {
	files map[string][]byte
	at    time.Time
}

func (m *memory) Modified(string) (time.Time, error) {
	return m.at, nil
}

func (m *memory) ReadFile(path string) ([]byte, error) {
	data, ok := m.files[path]
	if !ok {
		return nil, fmt.Errorf("no file %s", path)
	}
	return data, nil
}

// put replaces the files by a new authority and a certificate that it signed.
func (m *memory) put(t *testing.T, serial int64) {
	t.Helper()
	authority, authorityKey := newCertificate(t, serial, nil, nil)
	leaf, leafKey := newCertificate(t, serial, authority, authorityKey)
	der, err := x509.MarshalECPrivateKey(leafKey)
	require.NoError(t, err)
	m.files = map[string][]byte{
		"authority":   pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: authority.Raw}),
		"certificate": pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: leaf.Raw}),
		"key":         pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: der}),
	}
	m.at = m.at.Add(time.Second)
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

// handshake connects over TCP, because both sides of a failing handshake write at once and a pipe would block them.
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

// TestCredentials guards against connections of processes that the authority does not know, and against a process that
// keeps an expired certificate until it is restarted or loses a good one to half-written files.
func TestCredentials(t *testing.T) {
	files := TLSSettings{
		Certificate: "certificate",
		Key:         "key",
		Authority:   "authority",
	}
	ours, theirs := &memory{}, &memory{}
	_, err := NewCredentials(ours, files)
	require.Error(t, err)
	ours.put(t, 1)
	theirs.put(t, 2)
	server, err := NewCredentials(ours, files)
	require.NoError(t, err)
	client, err := NewCredentials(ours, files)
	require.NoError(t, err)
	stranger, err := NewCredentials(theirs, files)
	require.NoError(t, err)
	require.NoError(t, handshake(t, server.Server(), client.Client()))
	require.Error(t, handshake(t, server.Server(), stranger.Client()))
	require.Error(t, handshake(t, stranger.Server(), client.Client()))
	require.Error(t, handshake(t, server.Server(), &tls.Config{InsecureSkipVerify: true}))

	config := server.Server()
	ours.put(t, 3)
	require.NoError(t, handshake(t, config, client.Client()))
	certificate, _ := server.latest()
	require.Equal(t, int64(3), certificate.Leaf.SerialNumber.Int64())
	ours.files["key"] = nil
	ours.at = ours.at.Add(time.Second)
	require.NoError(t, handshake(t, config, client.Client()))
}
