package service

import (
	"context"
	"encoding/json"
	"expvar"
	"io"
	"maps"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/umbercrank/umbercrank/pkg/standin/network"
)

// counters are the totals of all stand-in services of the process.
var counters = expvar.NewMap("standin_service")

// Service is one stand-in. It is safe for concurrent use.
type Service struct {
	settings  Settings
	crashed   chan struct{}
	crashOnce sync.Once

	mu         sync.Mutex
	faults     Faults
	running    int
	executions Executions
}

// New returns a service that has executed nothing.
func New(settings Settings) *Service {
	return &Service{
		settings:   settings,
		crashed:    make(chan struct{}),
		faults:     settings.Faults,
		executions: Executions{Keys: make(map[string]int)},
	}
}

// Serve answers on the listener until ctx ends, or returns a fault of code
// UpstreamFailed when the service crashes.
func (s *Service) Serve(ctx context.Context, listener net.Listener) error {
	return network.Serve(ctx, listener, s.Handler(), s.crashed)
}

// Crash ends the service as a crash of its process would.
func (s *Service) Crash() {
	s.crashOnce.Do(func() { close(s.crashed) })
}

// Executions returns the counts so far.
func (s *Service) Executions() Executions {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := s.executions
	counts.Keys = maps.Clone(counts.Keys)
	return counts
}

// Handler returns the HTTP interface of the service.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+ExecutionsPath, func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, s.Executions())
	})
	mux.HandleFunc("GET "+LoadPath, func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, s.load())
	})
	mux.HandleFunc("PUT "+FaultsPath, s.serveFaults)
	mux.Handle("GET /debug/vars", expvar.Handler())
	mux.HandleFunc("/", s.serveCall)
	return mux
}

func (s *Service) load() LoadReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	return LoadReport{Running: s.running, Leaving: s.faults.Leaving}
}

func (s *Service) serveCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, s.settings.MaxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	faults, admitted := s.admit()
	if !admitted {
		refuse(w, faults.Leaving)
		return
	}
	defer s.leave()
	if faults.ResetBefore > 0 {
		s.reset(w)
		return
	}
	// A service does not stop in the middle because its caller went away.
	s.pause(faults.Delay)
	execution := s.execute(r.Header.Get(KeyHeader))
	if faults.ResetAfter > 0 {
		s.reset(w)
		return
	}
	writeJSON(w, http.StatusOK, Result{
		Service:   s.settings.Name,
		Method:    r.Method,
		Path:      r.URL.Path,
		Key:       r.Header.Get(KeyHeader),
		Execution: execution,
		Echo:      string(body),
	})
}

// admit counts the call as running and uses up one reset. It returns the faults
// in force for this call.
func (s *Service) admit() (Faults, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	faults := s.faults
	if faults.Leaving || s.running >= s.settings.MaxConcurrent {
		counters.Add("refused", 1)
		return faults, false
	}
	s.running++
	switch {
	case faults.ResetBefore > 0:
		s.faults.ResetBefore--
	case faults.ResetAfter > 0:
		s.faults.ResetAfter--
	}
	return faults, true
}

func (s *Service) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

// pause waits for the delay or the crash.
func (s *Service) pause(delay time.Duration) {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-s.crashed:
		panic(http.ErrAbortHandler)
	}
}

// execute counts one execution and returns the count of its key.
func (s *Service) execute(key string) int {
	counters.Add("executions", 1)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.executions.Total++
	if key == "" {
		return 1
	}
	_, known := s.executions.Keys[key]
	if !known && len(s.executions.Keys) >= s.settings.MaxKeys {
		return 1
	}
	s.executions.Keys[key]++
	if known {
		counters.Add("repeated", 1)
		s.executions.Repeated++
	}
	return s.executions.Keys[key]
}

// reset breaks the connection of the call.
func (s *Service) reset(w http.ResponseWriter) {
	counters.Add("resets", 1)
	connection, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	network.ResetConn(connection)
}

func (s *Service) serveFaults(w http.ResponseWriter, r *http.Request) {
	var change FaultsChange
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, s.settings.MaxBodyBytes)).Decode(&change); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.ApplyFaults(change)
	w.WriteHeader(http.StatusNoContent)
}

// ApplyFaults puts faults in force.
func (s *Service) ApplyFaults(change FaultsChange) {
	s.mu.Lock()
	if change.Leaving != nil {
		s.faults.Leaving = *change.Leaving
	}
	if change.DelayMilliseconds != nil {
		s.faults.Delay = time.Duration(*change.DelayMilliseconds) * time.Millisecond
	}
	if change.ResetBefore != nil {
		s.faults.ResetBefore = *change.ResetBefore
	}
	if change.ResetAfter != nil {
		s.faults.ResetAfter = *change.ResetAfter
	}
	s.mu.Unlock()
	if change.Crash {
		s.Crash()
	}
}

// refuse answers that the call was not executed.
func refuse(w http.ResponseWriter, leaving bool) {
	body := errorResponse{Error: errorBody{Message: "the service is full", Type: "standin_error", Code: "full"}}
	if leaving {
		w.Header().Set(StateHeader, StateLeaving)
		body.Error.Message = "the service is leaving"
		body.Error.Code = StateLeaving
	}
	writeJSON(w, http.StatusServiceUnavailable, body)
}

// writeJSON answers with a JSON body. The connection is all that can fail.
func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
