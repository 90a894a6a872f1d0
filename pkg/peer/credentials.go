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
	// keyPurpose separates this use of the shared secret from any other.
	keyPurpose = "umbercrank peer tls ed25519 v1"
	// serverName is the name in the certificate; it is not checked, the key is.
	serverName = "umbercrank-peer"
)

// credentials hold the key pair that every instance derives from the secret.
type credentials struct {
	certificate tls.Certificate
	public      ed25519.PublicKey
}

// newCredentials derives the key pair and certificate from the secret.
func newCredentials(secret string) (*credentials, error) {
	if secret == "" {
		return nil, fault.New(fault.InvalidSetting, "the peer secret is empty")
	}
	seed, err := hkdf.Key(sha256.New, []byte(secret), nil, keyPurpose, ed25519.SeedSize)
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
		return nil, fault.Wrap(fault.Internal, err, "the peer certificate cannot be made")
	}
	certificate := tls.Certificate{Certificate: [][]byte{der}, PrivateKey: private}
	return &credentials{certificate: certificate, public: public}, nil
}

// verify accepts a connection only from a holder of the same key. The standard
// chain verification has no place here, since there is no authority: both ends
// hold one key.
func (c *credentials) verify(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return fault.New(fault.Unauthorized, "the peer sent no certificate")
	}
	key, ok := state.PeerCertificates[0].PublicKey.(ed25519.PublicKey)
	if !ok || !key.Equal(c.public) {
		return fault.New(fault.Unauthorized, "the peer holds another secret")
	}
	return nil
}

// serverConfig returns the TLS settings of the listening side.
func (c *credentials) serverConfig() *tls.Config {
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		Certificates:           []tls.Certificate{c.certificate},
		ClientAuth:             tls.RequireAnyClientCert,
		VerifyConnection:       c.verify,
		SessionTicketsDisabled: true,
	}
}

// clientConfig returns the TLS settings of the dialling side.
func (c *credentials) clientConfig() *tls.Config {
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{c.certificate},
		ServerName:   serverName,
		// The chain is replaced by verify, which demands the shared key.
		InsecureSkipVerify: true,
		VerifyConnection:   c.verify,
	}
}
