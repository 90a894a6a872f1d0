package explain

import (
	"crypto/hkdf"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"strconv"
	"time"

	"github.com/umbercrank/umbercrank/pkg/fault"
)

const (
	// hkdfInfo separates this key from other keys derived from the peer secret.
	hkdfInfo = "umbercrank explain hmac-sha256 v1"
	// maxClockDifference bounds the time for which a recorded request can be repeated, and so
	// the difference of the clocks of operator and instance.
	maxClockDifference = time.Minute

	headerTime      = "Explain-Time"
	headerDigest    = "Explain-Digest"
	headerSignature = "Explain-Signature"
)

// Sign adds the proof that the client has the peer secret to the header of a request for an
// explanation. The secret itself is not sent, since the metrics listener is not encrypted.
func Sign(header http.Header, secret string, now time.Time, body []byte) error {
	at := strconv.FormatInt(now.Unix(), 10)
	digest := digestOf(body)
	signature, err := signatureOf(secret, at, digest)
	if err != nil {
		return err
	}
	header.Set(headerTime, at)
	header.Set(headerDigest, digest)
	header.Set(headerSignature, signature)
	return nil
}

// Verify returns an error unless the header was signed with the secret about now. It is called
// before the body is read, which must then pass VerifyBody.
func Verify(header http.Header, secret string, now time.Time) error {
	at := header.Get(headerTime)
	want, err := signatureOf(secret, at, header.Get(headerDigest))
	if err != nil {
		return err
	}
	if !hmac.Equal([]byte(want), []byte(header.Get(headerSignature))) {
		return fault.New(fault.Unauthorized, "the request is not signed with the peer secret")
	}
	seconds, err := strconv.ParseInt(at, 10, 64)
	if err != nil || time.Unix(seconds, 0).Sub(now).Abs() > maxClockDifference {
		return fault.New(fault.Unauthorized, "the signature is not of this minute; compare the clocks")
	}
	return nil
}

// VerifyBody returns an error unless the body is the signed one.
func VerifyBody(header http.Header, body []byte) error {
	if header.Get(headerDigest) != digestOf(body) {
		return fault.New(fault.Unauthorized, "the body is not the signed one")
	}
	return nil
}

func digestOf(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

func signatureOf(secret, at, digest string) (string, error) {
	if secret == "" {
		return "", fault.New(fault.Unauthorized, "the peer secret is empty")
	}
	key, err := hkdf.Key(sha256.New, []byte(secret), nil, hkdfInfo, sha256.Size)
	if err != nil {
		return "", fault.Wrap(fault.Unauthorized, err, "the peer secret cannot be used")
	}
	mac := hmac.New(sha256.New, key)
	// A hash writes without an error.
	_, _ = mac.Write([]byte("POST " + Path + "\n" + at + "\n" + digest))
	return hex.EncodeToString(mac.Sum(nil)), nil
}
