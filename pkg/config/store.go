package config

import (
	"fmt"
	"sync"

	"github.com/umbercrank/umbercrank/pkg/configservice"
	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// Store holds the configuration in force. It is safe for concurrent use.
type Store struct {
	mu      sync.Mutex
	current *Snapshot
	changed chan struct{}
}

// NewStore returns an empty Store.
func NewStore() *Store {
	return &Store{changed: make(chan struct{})}
}

// Current returns the configuration in force, or nil if there is none yet.
func (s *Store) Current() *Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current
}

// Apply puts the snapshot in force. It returns an error with code StaleRevision if
// the snapshot is not newer, as defined by Newer, than the one in force.
func (s *Store) Apply(snapshot *Snapshot) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current != nil && !Newer(snapshot.Revision(), snapshot.Digest(), s.current.Revision(), s.current.Digest()) {
		message := fmt.Sprintf("revision %v is not above revision %v in force", snapshot.Revision(), s.current.Revision())
		return fault.New(fault.StaleRevision, message)
	}
	s.current = snapshot
	close(s.changed)
	s.changed = make(chan struct{})
	return nil
}

// Changed returns a channel that is closed at the next change of the
// configuration in force.
func (s *Store) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// Newer reports whether the first configuration replaces the second. A higher
// revision replaces a lower one. If the revisions are equal, the larger digest wins,
// so that all instances choose the same configuration.
func Newer(revision types.Revision, digest configservice.Digest, otherRevision types.Revision, otherDigest configservice.Digest) bool {
	if revision != otherRevision {
		return revision > otherRevision
	}
	return digest > otherDigest
}
