// Package configuration is a stand-in of the platform for tests and trials: it
// holds published configurations and the instance list, serves them over HTTP,
// counts reads, and shows faults on demand. It is no part of the product.
package configuration

import (
	"context"
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/umbercrank/umbercrank/pkg/config"
	"github.com/umbercrank/umbercrank/pkg/configservice"
	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// maxHistory bounds the manifests that are kept for stale reads.
const maxHistory = 1000

// Faults are the failures that the service shows.
type Faults struct {
	// Down answers every read with status 503.
	Down bool `json:"down,omitempty"`
	// StaleRevision, unless zero, serves no manifest above it.
	StaleRevision types.Revision `json:"stale_revision,omitempty"`
	// DelayMilliseconds holds back every answer.
	DelayMilliseconds int64 `json:"delay_ms,omitempty"`
}

// Calls counts the reads of each kind, refused ones included.
type Calls struct {
	Manifest  int `json:"manifest"`
	Part      int `json:"part"`
	Instances int `json:"instances"`
	// Bytes counts the bytes of the answers.
	Bytes int64 `json:"bytes"`
}

// Service is the state of the stand-in. It is safe for concurrent use and
// implements configservice.Source for tests within one process.
type Service struct {
	mu        sync.Mutex
	history   []configservice.Manifest
	parts     map[configservice.Digest][]byte
	instances []types.Instance
	faults    Faults
	calls     Calls
	changed   chan struct{}
}

// New returns a Service that has published nothing.
func New() *Service {
	return &Service{parts: map[configservice.Digest][]byte{}, changed: make(chan struct{})}
}

// Publish splits the document into parts, publishes them and returns the
// manifest. The document's meaning is not checked.
func (s *Service) Publish(document *config.Document) (configservice.Manifest, error) {
	parts, err := config.Split(document)
	if err != nil {
		return configservice.Manifest{}, err
	}
	return s.PublishParts(parts), nil
}

// PublishParts publishes the parts as they are under the next revision.
func (s *Service) PublishParts(parts map[string][]byte) configservice.Manifest {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, manifest := config.Encode(s.latest().Revision+1, parts)
	for _, ref := range manifest.Parts {
		s.parts[ref.Digest] = slices.Clone(parts[ref.Name])
	}
	s.history = append(s.history, manifest)
	s.trim()
	s.wake()
	return manifest
}

// Fork adds the parts of a document without publishing it, and returns a
// manifest of the next revision that lists them. Tests show it to some readers
// as if replicas of the service disagreed.
func (s *Service) Fork(document *config.Document) (configservice.Manifest, error) {
	parts, err := config.Split(document)
	if err != nil {
		return configservice.Manifest{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	_, manifest := config.Encode(s.latest().Revision+1, parts)
	for _, ref := range manifest.Parts {
		s.parts[ref.Digest] = slices.Clone(parts[ref.Name])
	}
	return manifest, nil
}

// trim forgets old manifests and the parts that only they name.
func (s *Service) trim() {
	if len(s.history) <= maxHistory {
		return
	}
	s.history = slices.Delete(s.history, 0, len(s.history)-maxHistory)
	named := map[configservice.Digest]bool{}
	for _, manifest := range s.history {
		for _, ref := range manifest.Parts {
			named[ref.Digest] = true
		}
	}
	maps.DeleteFunc(s.parts, func(digest configservice.Digest, _ []byte) bool { return !named[digest] })
}

// latest returns the newest manifest, or a zero one.
func (s *Service) latest() configservice.Manifest {
	if len(s.history) == 0 {
		return configservice.Manifest{}
	}
	return s.history[len(s.history)-1]
}

// visible returns the newest manifest that the limit and the faults let a
// reader see.
func (s *Service) visible(limit types.Revision) configservice.Manifest {
	if s.faults.StaleRevision != 0 {
		limit = min(limit, s.faults.StaleRevision)
	}
	for _, manifest := range slices.Backward(s.history) {
		if manifest.Revision <= limit {
			return manifest
		}
	}
	return configservice.Manifest{}
}

// wake ends the waits of readers.
func (s *Service) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// SetInstances publishes the instance list.
func (s *Service) SetInstances(instances []types.Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.instances = slices.Clone(instances)
}

// SetFaults replaces the faults.
func (s *Service) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
	s.wake()
}

// Calls returns the counts so far.
func (s *Service) Calls() Calls {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// WaitManifest implements configservice.Source.
func (s *Service) WaitManifest(ctx context.Context, after types.Revision, wait time.Duration) (configservice.Manifest, error) {
	return s.WaitManifestUpTo(ctx, after, wait, math.MaxUint64)
}

// WaitManifestUpTo is WaitManifest at a replica that has no manifest above the
// limit.
func (s *Service) WaitManifestUpTo(ctx context.Context, after types.Revision, wait time.Duration, limit types.Revision) (configservice.Manifest, error) {
	if err := s.begin(ctx, func(c *Calls) { c.Manifest++ }); err != nil {
		return configservice.Manifest{}, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		manifest, changed, err := s.look(limit)
		if err != nil || manifest.Revision > after {
			return manifest, err
		}
		select {
		case <-changed:
		case <-timer.C:
			return manifest, nil
		case <-ctx.Done():
			return configservice.Manifest{}, unavailable("the reader left")
		}
	}
}

// look returns the visible manifest and the channel of the next change.
func (s *Service) look(limit types.Revision) (configservice.Manifest, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Down {
		return configservice.Manifest{}, nil, unavailable("the service is down")
	}
	return s.visible(limit), s.changed, nil
}

// Part implements configservice.Source.
func (s *Service) Part(ctx context.Context, ref configservice.PartRef) ([]byte, error) {
	if err := s.begin(ctx, func(c *Calls) { c.Part++ }); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	part, ok := s.parts[ref.Digest]
	if !ok {
		return nil, fault.New(fault.MissingPart, "part "+string(ref.Digest)+" is not published")
	}
	s.calls.Bytes += int64(len(part))
	return slices.Clone(part), nil
}

// Instances implements configservice.Source.
func (s *Service) Instances(ctx context.Context) ([]types.Instance, error) {
	if err := s.begin(ctx, func(c *Calls) { c.Instances++ }); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.instances), nil
}

// begin counts a read and applies the faults that every read meets.
func (s *Service) begin(ctx context.Context, count func(*Calls)) error {
	s.mu.Lock()
	count(&s.calls)
	faults := s.faults
	s.mu.Unlock()
	if faults.DelayMilliseconds > 0 {
		select {
		case <-time.After(time.Duration(faults.DelayMilliseconds) * time.Millisecond):
		case <-ctx.Done():
			return unavailable("the reader left")
		}
	}
	if faults.Down {
		return unavailable("the service is down")
	}
	return nil
}

// unavailable is the failure of a read that gets no answer.
func unavailable(message string) error {
	return fault.New(fault.PlatformUnavailable, message)
}
