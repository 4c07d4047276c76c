// Package keys creates and loads credentials: a development certificate
// authority, router certificates, client account keys and operator tokens. Only
// hashes of keys and tokens are stored.
package keys

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/base64"
	"encoding/hex"
	"encoding/pem"
	"errors"
	"fmt"
	"math/big"
	"net"
	"time"
)

// ErrBadPEM means that a file holds no usable PEM block.
var ErrBadPEM = errors.New("keys: no usable PEM block")

const (
	secretBytes         = 24
	serialBits          = 120
	clockSkew           = time.Hour
	certificateLifetime = 365 * 24 * time.Hour
)

// KeyPair is a certificate and its private key, both PEM-encoded.
type KeyPair struct {
	Cert []byte
	Key  []byte
}

// Authority signs router and listener certificates.
type Authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	pair KeyPair
}

// NewAuthority creates a self-signed authority for development.
func NewAuthority(name string) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, fmt.Errorf("keys: authority key: %w", err)
	}
	template, err := newTemplate(name)
	if err != nil {
		return nil, err
	}
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	return sign(template, template, key, key)
}

// LoadAuthority loads an authority from its PEM-encoded certificate and key.
func LoadAuthority(p KeyPair) (*Authority, error) {
	pair, err := tls.X509KeyPair(p.Cert, p.Key)
	if err != nil {
		return nil, fmt.Errorf("keys: authority: %w", err)
	}
	key, ok := pair.PrivateKey.(*ecdsa.PrivateKey)
	if !ok {
		return nil, fmt.Errorf("keys: authority: %w", ErrBadPEM)
	}
	return &Authority{cert: pair.Leaf, key: key, pair: p}, nil
}

// KeyPair returns the authority's own certificate and private key.
func (a *Authority) KeyPair() KeyPair {
	return a.pair
}

// Issue creates a private key and signs a certificate for it with the given
// common name. The hosts are IP addresses or DNS names.
func (a *Authority) Issue(name string, hosts []string) (KeyPair, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return KeyPair{}, fmt.Errorf("keys: %s: %w", name, err)
	}
	t, err := newTemplate(name)
	if err != nil {
		return KeyPair{}, err
	}
	t.KeyUsage = x509.KeyUsageDigitalSignature
	t.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	addHosts(t, hosts)
	issued, err := sign(t, a.cert, key, a.key)
	if err != nil {
		return KeyPair{}, err
	}
	return issued.pair, nil
}

func addHosts(t *x509.Certificate, hosts []string) {
	for _, h := range hosts {
		if ip := net.ParseIP(h); ip != nil {
			t.IPAddresses = append(t.IPAddresses, ip)
			continue
		}
		t.DNSNames = append(t.DNSNames, h)
	}
}

func newTemplate(name string) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, fmt.Errorf("keys: serial: %w", err)
	}
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-clockSkew),
		NotAfter:     now.Add(certificateLifetime),
	}, nil
}

func sign(t, parent *x509.Certificate, key, signer *ecdsa.PrivateKey) (*Authority, error) {
	der, err := x509.CreateCertificate(rand.Reader, t, parent, &key.PublicKey, signer)
	if err != nil {
		return nil, fmt.Errorf("keys: sign %s: %w", t.Subject.CommonName, err)
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, fmt.Errorf("keys: parse %s: %w", t.Subject.CommonName, err)
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return nil, fmt.Errorf("keys: encode %s: %w", t.Subject.CommonName, err)
	}
	pair := KeyPair{
		Cert: pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}),
		Key:  pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: keyDER}),
	}
	return &Authority{cert: cert, key: key, pair: pair}, nil
}

// PeerTLS returns a configuration for mutual TLS between routers: both sides
// present a certificate of the authority. The server name is not checked, since
// routers dial by IP address; the common name identifies the peer.
func PeerTLS(own KeyPair, authority []byte, protocol string) (*tls.Config, error) {
	cert, err := tls.X509KeyPair(own.Cert, own.Key)
	if err != nil {
		return nil, fmt.Errorf("keys: peer pair: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authority) {
		return nil, fmt.Errorf("keys: peer authority: %w", ErrBadPEM)
	}
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		Certificates:       []tls.Certificate{cert},
		ClientCAs:          pool,
		ClientAuth:         tls.RequireAndVerifyClientCert,
		InsecureSkipVerify: true,
		VerifyConnection:   verifyChain(pool),
		NextProtos:         []string{protocol},
	}, nil
}

func verifyChain(pool *x509.CertPool) func(tls.ConnectionState) error {
	return func(state tls.ConnectionState) error {
		if len(state.PeerCertificates) == 0 {
			return ErrBadPEM
		}
		_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
			Roots:     pool,
			KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
		})
		return err
	}
}

// ServerTLS returns the TLS configuration of a listener that does not require
// client certificates.
func ServerTLS(own KeyPair) (*tls.Config, error) {
	cert, err := tls.X509KeyPair(own.Cert, own.Key)
	if err != nil {
		return nil, fmt.Errorf("keys: listener pair: %w", err)
	}
	return &tls.Config{MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{cert}}, nil
}

// NewSecret returns a random key or token with the given prefix.
func NewSecret(prefix string) (string, error) {
	raw := make([]byte, secretBytes)
	if _, err := rand.Read(raw); err != nil {
		return "", fmt.Errorf("keys: secret: %w", err)
	}
	return prefix + base64.RawURLEncoding.EncodeToString(raw), nil
}

// Hash returns the SHA-256 hash of a secret as lower-case hexadecimal.
func Hash(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}

// HashEqual compares two hashes in constant time.
func HashEqual(a, b string) bool {
	return subtle.ConstantTimeCompare([]byte(a), []byte(b)) == 1
}
