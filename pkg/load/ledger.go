package load

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"

	"github.com/umbercrank/umbercrank/pkg/standin/service"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// keyLedger records the run states that were reported to callers for each
// idempotency key. It is safe for concurrent use.
type keyLedger struct {
	mu       sync.Mutex
	reported map[string][]types.RunState
}

func newKeyLedger() *keyLedger {
	return &keyLedger{reported: make(map[string][]types.RunState)}
}

// record records the run state reported for one try. An empty state means that no
// answer was received.
func (l *keyLedger) record(key string, state types.RunState) {
	if key == "" {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reported[key] = append(l.reported[key], state)
}

// audit compares the ledger with the executions counted by the services and
// returns a description of each violation.
func (l *keyLedger) audit(counts map[string]int) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var violations []string
	for key, count := range counts {
		if _, known := l.reported[key]; known && count > 1 {
			violations = append(violations, fmt.Sprintf("key %s was executed %d times", key, count))
		}
	}
	for key, states := range l.reported {
		if counts[key] > 0 && !slices.ContainsFunc(states, func(s types.RunState) bool { return s != types.NotRun }) {
			violations = append(violations, fmt.Sprintf("key %s was reported as not run but was executed", key))
		}
	}
	slices.Sort(violations)
	return violations
}

// fetchExecutions returns the sum of the execution counts of the services by key.
// It fails if a service does not respond.
func fetchExecutions(ctx context.Context, client *http.Client, services []string) (map[string]int, error) {
	sum := make(map[string]int)
	for _, base := range services {
		var counts service.Executions
		if err := getJSON(ctx, client, base+service.ExecutionsPath, &counts); err != nil {
			return nil, err
		}
		for key, count := range counts.Keys {
			sum[key] += count
		}
	}
	return sum, nil
}
