package quarantine

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// fingerprintBytes is the length of a fingerprint. At 16 bytes, accidental
// collisions are negligible.
const fingerprintBytes = 16

// Fingerprint identifies a request by its account and content.
type Fingerprint [fingerprintBytes]byte

// String returns the fingerprint in hexadecimal digits.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// MarshalText implements encoding.TextMarshaler.
func (f Fingerprint) MarshalText() ([]byte, error) {
	return []byte(f.String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (f *Fingerprint) UnmarshalText(text []byte) error {
	decoded, err := hex.DecodeString(string(text))
	if err != nil || len(decoded) != fingerprintBytes {
		return fault.New(fault.BadRequest, "a fingerprint must have 32 hexadecimal digits")
	}
	copy(f[:], decoded)
	return nil
}

// deliveryFields are the JSON fields that affect how an answer is delivered or
// billed, but not what the upstream executes. They are left out of the
// fingerprint.
var deliveryFields = []string{"stream", "stream_options", "user", "metadata", "priority", "store"}

// FingerprintOf returns the fingerprint of a request. A JSON object body is
// converted to a canonical form first, so the order of fields, white space and
// delivery fields do not affect the result.
func FingerprintOf(account types.AccountID, method, path string, body []byte) Fingerprint {
	digest := sha256.New()
	digest.Write([]byte(string(account) + "\n" + method + " " + path + "\n"))
	digest.Write(canonical(body))
	var fp Fingerprint
	copy(fp[:], digest.Sum(nil))
	return fp
}

// canonical returns the JSON object with sorted fields, without white space and
// delivery fields. It returns any other body unchanged.
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
