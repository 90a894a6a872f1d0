package relay

import (
	"github.com/umbercrank/umbercrank/pkg/config"
	"github.com/umbercrank/umbercrank/pkg/configservice"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// The peer methods of the relay.
const (
	// methodManifest exchanges the versions in force: version → manifestResponse.
	methodManifest = "config.manifest"
	// methodPart returns a part: partRequest → partResponse.
	methodPart = "config.part"
	// methodAnnounce announces a version that came into force; it has no response.
	methodAnnounce = "config.announce"
)

// version identifies a configuration. The zero value means that there is none.
type version struct {
	Revision types.Revision       `json:"revision"`
	Digest   configservice.Digest `json:"digest"`
}

// newer reports whether v replaces other.
func (v version) newer(other version) bool {
	return config.Newer(v.Revision, v.Digest, other.Revision, other.Digest)
}

// manifestResponse contains the version in force at the responding instance. If
// that is newer than the requester's version, it also contains the manifest, as a
// delta to the requester's manifest where possible.
type manifestResponse struct {
	Version version `json:"version"`
	// Serving reports whether the responding instance has been admitted.
	Serving bool `json:"serving"`
	// Delta reports whether Parts and Removed are changes to the requester's
	// manifest; otherwise Parts is the full manifest.
	Delta   bool                    `json:"delta,omitempty"`
	Parts   []configservice.PartRef `json:"parts,omitempty"`
	Removed []string                `json:"removed,omitempty"`
}

// partRequest requests one part.
type partRequest struct {
	Name   string               `json:"name"`
	Digest configservice.Digest `json:"digest"`
}

// partResponse contains one part.
type partResponse struct {
	Bytes []byte `json:"bytes"`
}
