package relay

import (
	"context"
	"time"

	"github.com/umbercrank/umbercrank/pkg/configservice"
	"github.com/umbercrank/umbercrank/pkg/types"
	"github.com/umbercrank/umbercrank/pkg/wait"
)

// isReader reports whether this instance is a reader of its data centre, which
// watches the configuration service for changes.
func (r *Relay) isReader() bool {
	return isReader(r.options.View.Self(), r.options.View.Live(), r.settings.Readers)
}

// readLoop reads the manifest with long polls while this instance is a reader.
func (r *Relay) readLoop(ctx context.Context) {
	for ctx.Err() == nil {
		changed := r.options.View.Changed()
		if !r.isReader() {
			select {
			case <-changed:
			case <-ctx.Done():
			}
			continue
		}
		started := time.Now()
		progress := r.readManifest(ctx, r.history.lastProcessed(), r.settings.LongPoll)
		if !progress && time.Since(started) < quickReadThreshold {
			wait.For(ctx, r.random.jitter(r.settings.RetryDelay))
		}
	}
}

// auditLoop reads the manifest at random intervals, whether or not this instance
// is a reader. The interval grows with the number of instances, so that the fleet
// makes one such read per AuditPeriod on average. These reads find revisions that
// the readers miss when they cannot reach the service or read from a stale
// replica.
func (r *Relay) auditLoop(ctx context.Context) {
	for ctx.Err() == nil {
		fleetSize := max(len(r.options.View.Live()), 1)
		wait.For(ctx, r.random.upTo(2*time.Duration(fleetSize)*r.settings.AuditPeriod))
		if ctx.Err() == nil {
			r.readManifest(ctx, r.history.lastProcessed(), 0)
		}
	}
}

// readManifest reads the manifest from the configuration service and applies it if
// it is newer. It reports whether a new manifest was processed.
func (r *Relay) readManifest(ctx context.Context, after types.Revision, wait time.Duration) bool {
	r.counters.serviceReads.Add(1)
	manifest, err := r.options.Source.WaitManifest(ctx, after, wait)
	if err != nil {
		r.recordServiceFailure(ctx, err)
		return false
	}
	if manifest.Revision == 0 {
		return false
	}
	processed, err := r.applyManifest(ctx, manifest, serviceSource)
	if err != nil {
		r.recordServiceFailure(ctx, err)
		return false
	}
	r.history.markProcessed(manifest.Revision)
	return processed
}

// recordServiceFailure counts and logs a failed read of the configuration
// service. It ignores failures after ctx is done.
func (r *Relay) recordServiceFailure(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	r.counters.serviceFailures.Add(1)
	r.options.Logger.Warn().Err(err).Msg("configuration service read failed")
}

// readPart reads a part from the configuration service.
func (r *Relay) readPart(ctx context.Context, ref configservice.PartRef) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, r.settings.ServicePartTimeout)
	defer cancel()
	r.counters.serviceReads.Add(1)
	part, err := r.options.Source.Part(ctx, ref)
	if err == nil {
		r.counters.partsFromService.Add(1)
	}
	return part, err
}
