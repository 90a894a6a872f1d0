package load

import (
	"context"
	"net/http"
	"sync"
	"time"
)

// workInterval is the time between two readings of the engines' counts.
const workInterval = 200 * time.Millisecond

// engineCounters is the part of an engine's /debug/vars that is read.
type engineCounters struct {
	Engine struct {
		GeneratedTokens int `json:"generated_tokens"`
	} `json:"standin_engine"`
}

// workMeter reads the tokens that engines generate while a load runs, so that
// the work of an engine that is killed on the way still counts up to its last
// reading.
type workMeter struct {
	client  *http.Client
	engines []string
	group   sync.WaitGroup
	cancel  context.CancelFunc

	mu    sync.Mutex
	first map[string]int
	last  map[string]int
}

// startWorkMeter takes the first reading and goes on until stop.
func startWorkMeter(ctx context.Context, client *http.Client, engines []string) *workMeter {
	running, cancel := context.WithCancel(ctx)
	m := &workMeter{
		client:  client,
		engines: engines,
		cancel:  cancel,
		first:   make(map[string]int),
		last:    make(map[string]int),
	}
	m.read(ctx)
	m.group.Go(func() { m.run(running) })
	return m
}

func (m *workMeter) run(ctx context.Context) {
	ticker := time.NewTicker(workInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			m.read(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// read asks every engine once; one that does not answer keeps its last count.
func (m *workMeter) read(ctx context.Context) {
	for _, base := range m.engines {
		var counters engineCounters
		if getJSON(ctx, m.client, base+"/debug/vars", &counters) == nil {
			m.note(base, counters.Engine.GeneratedTokens)
		}
	}
}

func (m *workMeter) note(base string, tokens int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, known := m.first[base]; !known {
		m.first[base] = tokens
	}
	m.last[base] = tokens
}

// stop takes the last reading and returns the tokens generated since the first.
func (m *workMeter) stop(ctx context.Context) int {
	m.cancel()
	m.group.Wait()
	m.read(ctx)
	m.mu.Lock()
	defer m.mu.Unlock()
	total := 0
	for base, tokens := range m.last {
		total += tokens - m.first[base]
	}
	return total
}

// compareWork fills in the work that the engines did.
func (r *Report) compareWork(generated int) {
	r.Work.Generated = generated
	if generated > r.Work.Answered {
		r.Work.WastedShare = 1 - float64(r.Work.Answered)/float64(generated)
	}
}
