package fakes

import (
	"context"
	"sync"
	"time"

	"github.com/umbercrank/umbercrank/pkg/config"
	"github.com/umbercrank/umbercrank/pkg/configservice"
	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/standin/configuration"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// Platform is the configuration stand-in with faults that differ by reader. It
// is safe for concurrent use.
type Platform struct {
	*configuration.Service
	mu    sync.Mutex
	cut   map[string]bool
	stale map[string]types.Revision
	forks map[string]configservice.Manifest
}

// NewPlatform returns a platform that has published nothing.
func NewPlatform() *Platform {
	return &Platform{
		Service: configuration.New(),
		cut:     map[string]bool{},
		stale:   map[string]types.Revision{},
		forks:   map[string]configservice.Manifest{},
	}
}

// Reader returns the platform as the named reader sees it.
func (p *Platform) Reader(name string) configservice.Source {
	return &reader{platform: p, name: name}
}

// Disconnect keeps the named readers from the service.
func (p *Platform) Disconnect(names ...string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, name := range names {
		p.cut[name] = true
	}
}

// SetStale leads the named reader to a replica that has nothing above the
// revision.
func (p *Platform) SetStale(name string, revision types.Revision) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stale[name] = revision
}

// Fork shows the named readers the document under the next revision, while
// others see what is published under it.
func (p *Platform) Fork(document *config.Document, names ...string) (configservice.Manifest, error) {
	manifest, err := p.Service.Fork(document)
	if err != nil {
		return manifest, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, name := range names {
		p.forks[name] = manifest
	}
	return manifest, nil
}

// seenBy returns the manifest as the named reader sees it.
func (p *Platform) seenBy(name string, manifest configservice.Manifest) configservice.Manifest {
	p.mu.Lock()
	defer p.mu.Unlock()
	if fork, ok := p.forks[name]; ok && fork.Revision == manifest.Revision {
		return fork
	}
	return manifest
}

// Heal ends the faults of single readers.
func (p *Platform) Heal() {
	p.mu.Lock()
	defer p.mu.Unlock()
	clear(p.cut)
	clear(p.stale)
	clear(p.forks)
}

// faults returns the faults of the reader.
func (p *Platform) faults(name string) (cut bool, stale types.Revision, isStale bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	stale, isStale = p.stale[name]
	return p.cut[name], stale, isStale
}

// reader is the platform as one instance sees it.
type reader struct {
	platform *Platform
	name     string
}

// WaitManifest implements configservice.Source.
func (r *reader) WaitManifest(ctx context.Context, after types.Revision, wait time.Duration) (configservice.Manifest, error) {
	cut, stale, isStale := r.platform.faults(r.name)
	if cut {
		return configservice.Manifest{}, unreachable()
	}
	if isStale {
		return r.platform.Service.WaitManifestUpTo(ctx, after, wait, stale)
	}
	manifest, err := r.platform.Service.WaitManifest(ctx, after, wait)
	if cut, _, _ := r.platform.faults(r.name); cut {
		return configservice.Manifest{}, unreachable()
	}
	return r.platform.seenBy(r.name, manifest), err
}

// Part implements configservice.Source.
func (r *reader) Part(ctx context.Context, ref configservice.PartRef) ([]byte, error) {
	if cut, _, _ := r.platform.faults(r.name); cut {
		return nil, unreachable()
	}
	return r.platform.Service.Part(ctx, ref)
}

// Instances implements configservice.Source.
func (r *reader) Instances(ctx context.Context) ([]types.Instance, error) {
	if cut, _, _ := r.platform.faults(r.name); cut {
		return nil, unreachable()
	}
	return r.platform.Service.Instances(ctx)
}

// unreachable is the failure of a read that does not reach the service.
func unreachable() error {
	return fault.New(fault.PlatformUnavailable, "the service is out of reach")
}
