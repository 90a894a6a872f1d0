package engine

import (
	"encoding/json"
	"net/http"
	"time"
)

// ApplyFaults puts faults in force.
func (e *Engine) ApplyFaults(change FaultsChange) {
	e.mu.Lock()
	e.apply(change)
	e.report(e.now())
	e.mu.Unlock()
	if change.Crash {
		e.Crash()
	}
}

// apply changes the fields that are present. The caller holds the lock.
func (e *Engine) apply(change FaultsChange) {
	if change.Leaving != nil {
		e.faults.Leaving = *change.Leaving
	}
	if change.Straggle != nil {
		e.faults.Straggle = *change.Straggle
		e.model.SetStraggle(*change.Straggle)
	}
	if change.LoadLagMilliseconds != nil {
		e.faults.LoadLag = time.Duration(*change.LoadLagMilliseconds) * time.Millisecond
	}
	if change.PoisonMarker != nil {
		e.faults.PoisonMarker = *change.PoisonMarker
	}
	if change.BreakNext != nil {
		e.faults.BreakNext = *change.BreakNext
	}
	if change.BreakAfterTokens != nil {
		e.faults.BreakAfterTokens = *change.BreakAfterTokens
	}
}

// faultsOfNext returns the faults in force for the next request, and uses up
// one break.
func (e *Engine) faultsOfNext() Faults {
	e.mu.Lock()
	defer e.mu.Unlock()
	faults := e.faults
	if !faults.Leaving && faults.BreakNext > 0 {
		e.faults.BreakNext--
	}
	return faults
}

func (e *Engine) serveFaults(w http.ResponseWriter, r *http.Request) {
	var change FaultsChange
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, e.settings.MaxBodyBytes)).Decode(&change); err != nil {
		refuse(w, http.StatusBadRequest, "bad_request", err.Error())
		return
	}
	e.ApplyFaults(change)
	w.WriteHeader(http.StatusNoContent)
}
