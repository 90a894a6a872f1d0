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

// ledger keeps what callers were told about each idempotency key. It is safe
// for concurrent use.
type ledger struct {
	mu   sync.Mutex
	told map[string][]types.RunState
}

func newLedger() *ledger {
	return &ledger{told: make(map[string][]types.RunState)}
}

// tried notes one try of a key; an empty state means that no answer came.
func (l *ledger) tried(key string, told types.RunState) {
	if key == "" {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.told[key] = append(l.told[key], told)
}

// audit compares the ledger with the executions that the services counted, and
// returns a sentence for each promise that was broken.
func (l *ledger) audit(counts map[string]int) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var breaches []string
	for key, count := range counts {
		if _, ours := l.told[key]; ours && count > 1 {
			breaches = append(breaches, fmt.Sprintf("key %s was executed %d times", key, count))
		}
	}
	for key, told := range l.told {
		if counts[key] > 0 && !slices.ContainsFunc(told, func(s types.RunState) bool { return s != types.NotRun }) {
			breaches = append(breaches, fmt.Sprintf("key %s was said not to have run but was executed", key))
		}
	}
	slices.Sort(breaches)
	return breaches
}

// executions adds up the counts of the services that answer.
func executions(ctx context.Context, client *http.Client, services []string) (map[string]int, error) {
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
