package peer

import (
	"crypto/ed25519"
	"crypto/hkdf"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"math/big"
	"time"

	"github.com/umbercrank/umbercrank/pkg/fault"
)

const (
	// hkdfInfo separates this key from other keys derived from the same secret.
	hkdfInfo = "umbercrank peer tls ed25519 v1"
	// serverName is the name in the certificate. Only the key is verified, not the name.
	serverName = "umbercrank-peer"
)

// credentials holds the key pair that all instances derive from the shared secret.
type credentials struct {
	certificate tls.Certificate
	public      ed25519.PublicKey
}

// newCredentials derives the key pair and the certificate from secret.
func newCredentials(secret string) (*credentials, error) {
	if secret == "" {
		return nil, fault.New(fault.InvalidSetting, "the peer secret is empty")
	}
	seed, err := hkdf.Key(sha256.New, []byte(secret), nil, hkdfInfo, ed25519.SeedSize)
	if err != nil {
		return nil, fault.Wrap(fault.InvalidSetting, err, "the peer secret cannot be used")
	}
	private := ed25519.NewKeyFromSeed(seed)
	public := private.Public().(ed25519.PublicKey)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1),
		Subject:      pkix.Name{CommonName: serverName},
		DNSNames:     []string{serverName},
		NotBefore:    time.Unix(0, 0),
		NotAfter:     time.Date(9999, 1, 1, 0, 0, 0, 0, time.UTC),
	}
	der, err := x509.CreateCertificate(nil, template, template, public, private)
	if err != nil {
		return nil, fault.Wrap(fault.Internal, err, "cannot create the peer certificate")
	}
	certificate := tls.Certificate{Certificate: [][]byte{der}, PrivateKey: private}
	return &credentials{certificate: certificate, public: public}, nil
}

// verify returns an error unless the peer uses the same key. It replaces the
// verification of the certificate chain: there is no certificate authority, since
// both sides share one key.
func (c *credentials) verify(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return fault.New(fault.Unauthorized, "the peer sent no certificate")
	}
	key, ok := state.PeerCertificates[0].PublicKey.(ed25519.PublicKey)
	if !ok || !key.Equal(c.public) {
		return fault.New(fault.Unauthorized, "the peer uses a different secret")
	}
	return nil
}

// serverConfig returns the TLS configuration of the server.
func (c *credentials) serverConfig() *tls.Config {
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		Certificates:           []tls.Certificate{c.certificate},
		ClientAuth:             tls.RequireAnyClientCert,
		VerifyConnection:       c.verify,
		SessionTicketsDisabled: true,
	}
}

// clientConfig returns the TLS configuration of the client.
func (c *credentials) clientConfig() *tls.Config {
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{c.certificate},
		ServerName:   serverName,
		// verify checks the shared key instead of the certificate chain.
		InsecureSkipVerify: true,
		VerifyConnection:   c.verify,
	}
}
