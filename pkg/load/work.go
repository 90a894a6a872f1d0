package load

import (
	"context"
	"net/http"
	"sync"
	"time"
)

// tokenPollInterval is the interval between two reads of the engines' counters.
const tokenPollInterval = 200 * time.Millisecond

// engineCounters is the part of an engine's /debug/vars that is decoded.
type engineCounters struct {
	Engine struct {
		GeneratedTokens int `json:"generated_tokens"`
	} `json:"standin_engine"`
}

// tokenMeter counts the tokens that engines generate during a load run. It polls
// the engines, so that the tokens of an engine that is killed during the run are
// counted up to the last poll.
type tokenMeter struct {
	client  *http.Client
	engines []string
	group   sync.WaitGroup
	cancel  context.CancelFunc

	mu    sync.Mutex
	first map[string]int
	last  map[string]int
}

// startTokenMeter polls the engines once, and then periodically until stop.
func startTokenMeter(ctx context.Context, client *http.Client, engines []string) *tokenMeter {
	running, cancel := context.WithCancel(ctx)
	m := &tokenMeter{
		client:  client,
		engines: engines,
		cancel:  cancel,
		first:   make(map[string]int),
		last:    make(map[string]int),
	}
	m.poll(ctx)
	m.group.Go(func() { m.run(running) })
	return m
}

func (m *tokenMeter) run(ctx context.Context) {
	ticker := time.NewTicker(tokenPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			m.poll(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// poll reads the counter of every engine once. An engine that does not respond
// keeps its last count.
func (m *tokenMeter) poll(ctx context.Context) {
	for _, base := range m.engines {
		var counters engineCounters
		if getJSON(ctx, m.client, base+"/debug/vars", &counters) == nil {
			m.recordCount(base, counters.Engine.GeneratedTokens)
		}
	}
}

func (m *tokenMeter) recordCount(base string, tokens int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, known := m.first[base]; !known {
		m.first[base] = tokens
	}
	m.last[base] = tokens
}

// stop polls the engines a last time and returns the number of tokens generated
// since the first poll.
func (m *tokenMeter) stop(ctx context.Context) int {
	m.cancel()
	m.group.Wait()
	m.poll(ctx)
	m.mu.Lock()
	defer m.mu.Unlock()
	total := 0
	for base, tokens := range m.last {
		total += tokens - m.first[base]
	}
	return total
}

// setGeneratedTokens sets the number of generated tokens and the wasted share.
func (r *Report) setGeneratedTokens(generated int) {
	r.Work.Generated = generated
	if generated > r.Work.Answered {
		r.Work.WastedShare = 1 - float64(r.Work.Answered)/float64(generated)
	}
}
