// Package configuration is a stand-in for the platform's configuration service, for
// tests and trials. It stores published configurations and the instance list, serves
// them over HTTP, counts reads and injects faults on request. It is not part of the
// product.
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

// maxHistory bounds the number of manifests kept for stale reads.
const maxHistory = 1000

// Faults are the faults that the service injects.
type Faults struct {
	// Down makes every read fail with status 503.
	Down bool `json:"down,omitempty"`
	// StaleRevision, unless zero, is the highest revision that reads return.
	StaleRevision types.Revision `json:"stale_revision,omitempty"`
	// DelayMilliseconds delays every response.
	DelayMilliseconds int64 `json:"delay_ms,omitempty"`
}

// Calls counts the reads of each kind, including failed ones.
type Calls struct {
	Manifest  int `json:"manifest"`
	Part      int `json:"part"`
	Instances int `json:"instances"`
	// Bytes counts the bytes of the parts returned.
	Bytes int64 `json:"bytes"`
}

// Service is the stand-in service. It is safe for concurrent use and implements
// configservice.Source for tests in one process.
type Service struct {
	mu        sync.Mutex
	history   []configservice.Manifest
	parts     map[configservice.Digest][]byte
	instances []types.Instance
	faults    Faults
	calls     Calls
	// changed is closed and replaced when the result of a manifest read may change.
	changed chan struct{}
}

// New returns a Service without a published configuration.
func New() *Service {
	return &Service{parts: map[configservice.Digest][]byte{}, changed: make(chan struct{})}
}

// Publish splits the document into parts, publishes them and returns the manifest. It
// does not validate the content of the document.
func (s *Service) Publish(document *config.Document) (configservice.Manifest, error) {
	parts, err := config.Split(document)
	if err != nil {
		return configservice.Manifest{}, err
	}
	return s.PublishParts(parts), nil
}

// PublishParts publishes the parts unchanged with the next revision.
func (s *Service) PublishParts(parts map[string][]byte) configservice.Manifest {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, manifest := config.Encode(s.latest().Revision.Next(), parts)
	for _, ref := range manifest.Parts {
		s.parts[ref.Digest] = slices.Clone(parts[ref.Name])
	}
	s.history = append(s.history, manifest)
	s.trimHistory()
	s.notifyWaiters()
	return manifest
}

// Fork stores the parts of a document and returns a manifest with the next revision,
// but does not publish it. Tests serve this manifest to some readers to simulate
// replicas of the service that disagree.
func (s *Service) Fork(document *config.Document) (configservice.Manifest, error) {
	parts, err := config.Split(document)
	if err != nil {
		return configservice.Manifest{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	_, manifest := config.Encode(s.latest().Revision.Next(), parts)
	for _, ref := range manifest.Parts {
		s.parts[ref.Digest] = slices.Clone(parts[ref.Name])
	}
	return manifest, nil
}

// Restore makes the service return from a copy whose newest manifest has the revision. The
// later ones are lost, and their revisions are given out again in a higher era.
func (s *Service) Restore(revision types.Revision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	era := s.latest().Revision.Era() + 1
	s.history = slices.DeleteFunc(s.history, func(m configservice.Manifest) bool { return m.Revision > revision })
	for i := range s.history {
		s.history[i].Revision, _ = types.NewRevision(era, s.history[i].Revision.Number())
	}
	s.notifyWaiters()
}

// trimHistory removes old manifests and the parts that no remaining manifest
// references. The caller holds mu.
func (s *Service) trimHistory() {
	if len(s.history) <= maxHistory {
		return
	}
	s.history = slices.Delete(s.history, 0, len(s.history)-maxHistory)
	referenced := map[configservice.Digest]bool{}
	for _, manifest := range s.history {
		for _, ref := range manifest.Parts {
			referenced[ref.Digest] = true
		}
	}
	maps.DeleteFunc(s.parts, func(digest configservice.Digest, _ []byte) bool { return !referenced[digest] })
}

// latest returns the newest manifest, or a zero one. The caller holds mu.
func (s *Service) latest() configservice.Manifest {
	if len(s.history) == 0 {
		return configservice.Manifest{}
	}
	return s.history[len(s.history)-1]
}

// visible returns the newest manifest that is not above the limit or StaleRevision.
// The caller holds mu.
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

// notifyWaiters wakes the readers that wait for a manifest. The caller holds mu.
func (s *Service) notifyWaiters() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// SetInstances replaces the instance list.
func (s *Service) SetInstances(instances []types.Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.instances = slices.Clone(instances)
}

// SetFaults replaces the injected faults.
func (s *Service) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
	s.notifyWaiters()
}

// Calls returns the number of reads so far.
func (s *Service) Calls() Calls {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// WaitManifest implements configservice.Source.
func (s *Service) WaitManifest(ctx context.Context, after types.Revision, wait time.Duration) (configservice.Manifest, error) {
	return s.WaitManifestUpTo(ctx, after, wait, math.MaxUint64)
}

// WaitManifestUpTo behaves like WaitManifest on a replica that has no manifest above
// the limit.
func (s *Service) WaitManifestUpTo(ctx context.Context, after types.Revision, wait time.Duration, limit types.Revision) (configservice.Manifest, error) {
	if err := s.beginRead(ctx, func(c *Calls) { c.Manifest++ }); err != nil {
		return configservice.Manifest{}, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		manifest, changed, err := s.visibleAndChanged(limit)
		if err != nil || manifest.Revision > after {
			return manifest, err
		}
		select {
		case <-changed:
		case <-timer.C:
			return manifest, nil
		case <-ctx.Done():
			return configservice.Manifest{}, unavailable("the reader cancelled the request")
		}
	}
}

// visibleAndChanged returns the visible manifest and a channel that is closed at the
// next change.
func (s *Service) visibleAndChanged(limit types.Revision) (configservice.Manifest, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Down {
		return configservice.Manifest{}, nil, unavailable("the service is down")
	}
	return s.visible(limit), s.changed, nil
}

// Part implements configservice.Source.
func (s *Service) Part(ctx context.Context, ref configservice.PartRef) ([]byte, error) {
	if err := s.beginRead(ctx, func(c *Calls) { c.Part++ }); err != nil {
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
	if err := s.beginRead(ctx, func(c *Calls) { c.Instances++ }); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.instances), nil
}

// beginRead counts a read and applies the faults common to all reads.
func (s *Service) beginRead(ctx context.Context, count func(*Calls)) error {
	s.mu.Lock()
	count(&s.calls)
	faults := s.faults
	s.mu.Unlock()
	if faults.DelayMilliseconds > 0 {
		select {
		case <-time.After(time.Duration(faults.DelayMilliseconds) * time.Millisecond):
		case <-ctx.Done():
			return unavailable("the reader cancelled the request")
		}
	}
	if faults.Down {
		return unavailable("the service is down")
	}
	return nil
}

// unavailable returns the error of a read that fails without a result.
func unavailable(message string) error {
	return fault.New(fault.PlatformUnavailable, message)
}
