package relay

import (
	"context"
	"time"

	"github.com/umbercrank/umbercrank/pkg/configservice"
	"github.com/umbercrank/umbercrank/pkg/types"
	"github.com/umbercrank/umbercrank/pkg/wait"
)

// isReader reports whether this instance waits at the service for its data
// centre.
func (r *Relay) isReader() bool {
	return isReader(r.options.View.Self(), r.options.View.Live(), r.settings.Readers)
}

// readLoop waits at the service while this instance is a reader.
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
		progress := r.readOnce(ctx, r.memory.lastSeen(), r.settings.LongPoll)
		if !progress && time.Since(started) < fastAnswer {
			wait.For(ctx, r.chance.around(r.settings.RetryDelay))
		}
	}
}

// auditLoop reads the service now and then, reader or not. The turns are spread
// so that the fleet as a whole makes one such read each AuditPeriod, whatever
// its size. They find what readers miss that are cut off or led to a stale
// replica.
func (r *Relay) auditLoop(ctx context.Context) {
	for ctx.Err() == nil {
		fleet := max(len(r.options.View.Live()), 1)
		wait.For(ctx, r.chance.below(2*time.Duration(fleet)*r.settings.AuditPeriod))
		if ctx.Err() == nil {
			r.readOnce(ctx, r.memory.lastSeen(), 0)
		}
	}
}

// readOnce reads the manifest and takes it if it is newer. It reports whether a
// new manifest was dealt with.
func (r *Relay) readOnce(ctx context.Context, after types.Revision, wait time.Duration) bool {
	r.counters.serviceReads.Add(1)
	manifest, err := r.options.Source.WaitManifest(ctx, after, wait)
	if err != nil {
		r.serviceFailed(ctx, err)
		return false
	}
	if manifest.Revision == 0 {
		return false
	}
	taken, err := r.take(ctx, manifest, fromService)
	if err != nil {
		r.serviceFailed(ctx, err)
		return false
	}
	r.memory.sawRevision(manifest.Revision)
	return taken
}

// serviceFailed counts and logs a read that failed.
func (r *Relay) serviceFailed(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	r.counters.serviceFailures.Add(1)
	r.options.Logger.Warn().Err(err).Msg("configuration not read")
}

// readPart reads a part from the service.
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
