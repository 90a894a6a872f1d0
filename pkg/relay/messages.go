package relay

import (
	"github.com/umbercrank/umbercrank/pkg/config"
	"github.com/umbercrank/umbercrank/pkg/configservice"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// The peer methods of the relay.
const (
	// methodManifest exchanges the versions in force: version → manifestAnswer.
	methodManifest = "config.manifest"
	// methodPart hands out a part: partQuery → partAnswer.
	methodPart = "config.part"
	// methodAnnounce is a notification of a version that came into force.
	methodAnnounce = "config.announce"
)

// version names a configuration. The zero version means that there is none.
type version struct {
	Revision types.Revision       `json:"revision"`
	Digest   configservice.Digest `json:"digest"`
}

// newer reports whether v takes the place of other.
func (v version) newer(other version) bool {
	return config.Newer(v.Revision, v.Digest, other.Revision, other.Digest)
}

// manifestAnswer tells what the answering instance has in force. When that is
// newer than the asker's, it carries the manifest, as the difference to the
// asker's where possible.
type manifestAnswer struct {
	Version version `json:"version"`
	// Serving says that the answering instance has been admitted.
	Serving bool `json:"serving"`
	// Delta says that Parts and Removed are changes to the asker's manifest.
	Delta   bool                    `json:"delta,omitempty"`
	Parts   []configservice.PartRef `json:"parts,omitempty"`
	Removed []string                `json:"removed,omitempty"`
}

// partQuery asks for one part.
type partQuery struct {
	Name   string               `json:"name"`
	Digest configservice.Digest `json:"digest"`
}

// partAnswer carries one part.
type partAnswer struct {
	Bytes []byte `json:"bytes"`
}
