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

// Platform is the configuration service stand-in with faults that apply to single
// readers. It is safe for concurrent use.
type Platform struct {
	*configuration.Service
	mu           sync.Mutex
	disconnected map[string]bool
	stale        map[string]types.Revision
	forks        map[string]configservice.Manifest
}

// NewPlatform returns a platform without a published document.
func NewPlatform() *Platform {
	return &Platform{
		Service:      configuration.New(),
		disconnected: map[string]bool{},
		stale:        map[string]types.Revision{},
		forks:        map[string]configservice.Manifest{},
	}
}

// Reader returns the platform as the named reader sees it.
func (p *Platform) Reader(name string) configservice.Source {
	return &reader{platform: p, name: name}
}

// Disconnect makes the service unavailable to the named readers.
func (p *Platform) Disconnect(names ...string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, name := range names {
		p.disconnected[name] = true
	}
}

// SetStale makes the named reader read from a stale replica, which has no revision
// above the given one.
func (p *Platform) SetStale(name string, revision types.Revision) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stale[name] = revision
}

// Fork makes the named readers see the document under the next revision. Other
// readers see the document that is published under that revision.
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

// manifestFor returns the manifest that the named reader sees in place of the
// published one.
func (p *Platform) manifestFor(name string, manifest configservice.Manifest) configservice.Manifest {
	p.mu.Lock()
	defer p.mu.Unlock()
	if fork, ok := p.forks[name]; ok && fork.Revision == manifest.Revision {
		return fork
	}
	return manifest
}

// Heal clears the faults of all readers.
func (p *Platform) Heal() {
	p.mu.Lock()
	defer p.mu.Unlock()
	clear(p.disconnected)
	clear(p.stale)
	clear(p.forks)
}

// faults returns the faults of the named reader.
func (p *Platform) faults(name string) (disconnected bool, stale types.Revision, isStale bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	stale, isStale = p.stale[name]
	return p.disconnected[name], stale, isStale
}

// reader is the platform as one instance sees it.
type reader struct {
	platform *Platform
	name     string
}

// WaitManifest implements configservice.Source.
func (r *reader) WaitManifest(ctx context.Context, after types.Revision, wait time.Duration) (configservice.Manifest, error) {
	disconnected, stale, isStale := r.platform.faults(r.name)
	if disconnected {
		return configservice.Manifest{}, unreachable()
	}
	if isStale {
		return r.platform.Service.WaitManifestUpTo(ctx, after, wait, stale)
	}
	manifest, err := r.platform.Service.WaitManifest(ctx, after, wait)
	if disconnected, _, _ := r.platform.faults(r.name); disconnected {
		return configservice.Manifest{}, unreachable()
	}
	return r.platform.manifestFor(r.name, manifest), err
}

// Part implements configservice.Source.
func (r *reader) Part(ctx context.Context, ref configservice.PartRef) ([]byte, error) {
	if disconnected, _, _ := r.platform.faults(r.name); disconnected {
		return nil, unreachable()
	}
	return r.platform.Service.Part(ctx, ref)
}

// Instances implements configservice.Source.
func (r *reader) Instances(ctx context.Context) ([]types.Instance, error) {
	if disconnected, _, _ := r.platform.faults(r.name); disconnected {
		return nil, unreachable()
	}
	return r.platform.Service.Instances(ctx)
}

// unreachable returns the error of a read by a disconnected reader.
func unreachable() error {
	return fault.New(fault.PlatformUnavailable, "the configuration service is unreachable")
}
