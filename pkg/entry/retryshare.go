package entry

import (
	"sync"
	"time"

	"github.com/umbercrank/umbercrank/pkg/retry"
)

// retryShare decides on the share of this instance of the fleet's retry burst.
type retryShare struct {
	options   Options
	startedAt time.Duration
	mu        sync.Mutex
	instances *retry.Instances
}

func newRetryShare(options Options) *retryShare {
	return &retryShare{options: options, startedAt: options.Clock(), instances: retry.NewInstances()}
}

// burst returns the burst that this instance may use. An instance serves only once it has been
// admitted, so it is in contact with the fleet.
func (s *retryShare) burst() float64 {
	now := s.options.Clock()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.instances.Record(s.options.Self.ID, now)
	if s.options.View != nil {
		for _, instance := range s.options.View.Live() {
			s.instances.Record(instance.ID, now)
		}
	}
	fleet := retry.Fleet{Known: len(s.instances.Heard(now)), Connected: true, WasConnected: true, Age: now - s.startedAt, FirstStart: s.options.FirstStart}
	return fleet.Burst(s.options.Settings.Retry)
}

// spendRetry counts a retry, or returns false if the budget allows no more.
func (e *Entry) spendRetry() bool {
	e.budget.SetBurst(e.share.burst())
	return e.budget.Spend()
}
