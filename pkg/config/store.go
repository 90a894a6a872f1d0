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

// NewStore returns a Store without a configuration.
func NewStore() *Store {
	return &Store{changed: make(chan struct{})}
}

// Current returns the configuration in force, or nil before the first.
func (s *Store) Current() *Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current
}

// Apply puts the snapshot in force. The failure has code StaleRevision when the
// one in force is as new or newer by the order of Newer.
func (s *Store) Apply(snapshot *Snapshot) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current != nil && !Newer(snapshot.Revision(), snapshot.Digest(), s.current.Revision(), s.current.Digest()) {
		message := fmt.Sprintf("revision %d is not above revision %d in force", snapshot.Revision(), s.current.Revision())
		return fault.New(fault.StaleRevision, message)
	}
	s.current = snapshot
	close(s.changed)
	s.changed = make(chan struct{})
	return nil
}

// Changed returns a channel that is closed at the next change.
func (s *Store) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// Newer reports whether the first configuration takes the place of the second:
// a higher revision does, and of two manifests with one revision that with the
// larger digest, so that every instance picks the same.
func Newer(revision types.Revision, digest configservice.Digest, thanRevision types.Revision, thanDigest configservice.Digest) bool {
	if revision != thanRevision {
		return revision > thanRevision
	}
	return digest > thanDigest
}
