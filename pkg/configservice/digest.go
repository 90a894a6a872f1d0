package configservice

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strconv"
	"strings"
)

// DigestOf returns the digest of the bytes of a part.
func DigestOf(part []byte) Digest {
	sum := sha256.Sum256(part)
	return Digest(hex.EncodeToString(sum[:]))
}

// Digest returns the digest of the manifest's revision and parts. It does not
// depend on the order of the parts.
func (m Manifest) Digest() Digest {
	lines := make([]string, 0, len(m.Parts)+1)
	for _, part := range m.Parts {
		lines = append(lines, part.Name+"\x00"+string(part.Digest))
	}
	slices.Sort(lines)
	lines = append(lines, strconv.FormatUint(uint64(m.Revision), 10))
	return DigestOf([]byte(strings.Join(lines, "\n")))
}
