package engine

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/umbercrank/umbercrank/pkg/standin/engine/model"
)

// reportSpacing is the time between kept samples of the load.
const reportSpacing = 10 * time.Millisecond

// sample is the load at a moment.
type sample struct {
	at      time.Duration
	load    model.Load
	leaving bool
}

// reportLog keeps the samples that a lagging report still needs.
type reportLog struct {
	samples []sample
}

// add keeps a sample; one that follows the last closely takes its place.
func (l *reportLog) add(s sample, lag time.Duration) {
	last := len(l.samples) - 1
	if last >= 0 && s.at-l.samples[last].at < reportSpacing {
		l.samples[last].load = s.load
		l.samples[last].leaving = s.leaving
		return
	}
	l.samples = append(l.samples, s)
	for len(l.samples) > 1 && l.samples[1].at <= s.at-lag {
		l.samples = l.samples[1:]
	}
}

// at returns the last sample taken up to the moment, or an idle one.
func (l *reportLog) at(moment time.Duration) sample {
	found := sample{}
	for _, s := range l.samples {
		if s.at > moment {
			break
		}
		found = s
	}
	return found
}

// report keeps a sample of the present load. The caller holds the lock.
func (e *Engine) report(now time.Duration) {
	e.reports.add(sample{at: now, load: e.model.Load(), leaving: e.faults.Leaving}, e.faults.LoadLag)
}

// LoadReport returns the load as it was one lag ago.
func (e *Engine) LoadReport() LoadReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	if e.faults.LoadLag <= 0 {
		e.report(now)
	}
	s := e.reports.at(now - e.faults.LoadLag)
	return LoadReport{
		Running:         s.load.Running,
		Waiting:         s.load.Waiting,
		KVUsed:          s.load.KVUsed,
		Leaving:         s.leaving,
		AgeMilliseconds: e.faults.LoadLag.Milliseconds(),
	}
}

func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, e.LoadReport())
}

// writeJSON answers with a JSON body. The connection is all that can fail.
func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
