// Package quarantine keeps requests that crash upstreams from doing it again. It
// holds the fingerprints of requests that were running when an upstream crashed,
// condemns those that crashed one as its only suspect, and spreads both to the
// other instances.
package quarantine

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// fingerprintBytes is long enough that two requests never share a fingerprint
// by chance.
const fingerprintBytes = 16

// Fingerprint names a request by its account and content.
type Fingerprint [fingerprintBytes]byte

// MarshalText implements encoding.TextMarshaler.
func (f Fingerprint) MarshalText() ([]byte, error) {
	return []byte(hex.EncodeToString(f[:])), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (f *Fingerprint) UnmarshalText(text []byte) error {
	decoded, err := hex.DecodeString(string(text))
	if err != nil || len(decoded) != fingerprintBytes {
		return fault.New(fault.BadRequest, "a fingerprint has 32 hexadecimal digits")
	}
	copy(f[:], decoded)
	return nil
}

// deliveryFields say how an answer is delivered and billed, not what runs.
var deliveryFields = []string{"stream", "stream_options", "user", "metadata", "priority", "store"}

// Of returns the fingerprint of a request. A JSON body is brought into a
// canonical form first, so that order of fields, white space and the way of
// delivery do not matter.
func FingerprintOf(account types.AccountID, method, path string, body []byte) Fingerprint {
	digest := sha256.New()
	digest.Write([]byte(string(account) + "\n" + method + " " + path + "\n"))
	digest.Write(canonical(body))
	var fp Fingerprint
	copy(fp[:], digest.Sum(nil))
	return fp
}

// canonical returns the body with sorted fields and no white space, or the body
// itself when it is not a JSON object.
func canonical(body []byte) []byte {
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.UseNumber()
	var fields map[string]any
	if decoder.Decode(&fields) != nil {
		return body
	}
	for _, name := range deliveryFields {
		delete(fields, name)
	}
	encoded, err := json.Marshal(fields)
	if err != nil {
		return body
	}
	return encoded
}
