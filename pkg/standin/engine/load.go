package engine

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/umbercrank/umbercrank/pkg/standin/engine/model"
)

// sampleInterval is the minimum time between two samples of the load.
const sampleInterval = 10 * time.Millisecond

// loadSample is the load at a point in time.
type loadSample struct {
	at      time.Duration
	load    model.Load
	leaving bool
}

// loadHistory keeps the samples that delayed load reports need.
type loadHistory struct {
	samples []loadSample
}

// add appends a sample and drops those that reports with the lag no longer need.
// Within sampleInterval of the last sample, it updates that sample instead.
func (h *loadHistory) add(s loadSample, lag time.Duration) {
	last := len(h.samples) - 1
	if last >= 0 && s.at-h.samples[last].at < sampleInterval {
		h.samples[last].load = s.load
		h.samples[last].leaving = s.leaving
		return
	}
	h.samples = append(h.samples, s)
	for len(h.samples) > 1 && h.samples[1].at <= s.at-lag {
		h.samples = h.samples[1:]
	}
}

// at returns the last sample at or before the given time, or an idle one.
func (h *loadHistory) at(t time.Duration) loadSample {
	found := loadSample{}
	for _, s := range h.samples {
		if s.at > t {
			break
		}
		found = s
	}
	return found
}

// recordLoadLocked records a sample of the current load. The caller holds mu.
func (e *Engine) recordLoadLocked(now time.Duration) {
	e.loads.add(loadSample{at: now, load: e.model.Load(), leaving: e.faults.Leaving}, e.faults.LoadLag)
}

// LoadReport returns the load as it was LoadLag ago.
func (e *Engine) LoadReport() LoadReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	if e.faults.LoadLag <= 0 {
		e.recordLoadLocked(now)
	}
	s := e.loads.at(now - e.faults.LoadLag)
	return LoadReport{
		Running:         s.load.Running,
		Waiting:         s.load.Waiting,
		KVUsed:          s.load.KVUsed,
		Leaving:         s.leaving,
		AgeMilliseconds: e.faults.LoadLag.Milliseconds(),

		MaxRequestsPerSecond: e.faults.MaxRequestsPerSecond,
	}
}

func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, e.LoadReport())
}

// writeJSON writes a JSON response. It ignores the error of the write: only the
// connection can fail, and then the response cannot be delivered.
func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
