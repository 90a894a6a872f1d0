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

// counters are the totals of all stand-in services in the process.
var counters = expvar.NewMap("standin_service")

// Service is a stand-in service. It is safe for concurrent use.
type Service struct {
	settings  Settings
	crashed   chan struct{}
	crashOnce sync.Once

	mu         sync.Mutex
	faults     Faults
	running    int
	executions Executions
}

// New returns a service without executions.
func New(settings Settings) *Service {
	return &Service{
		settings:   settings,
		crashed:    make(chan struct{}),
		faults:     settings.Faults,
		executions: Executions{Keys: make(map[string]int)},
	}
}

// Serve serves HTTP on the listener until ctx is done. If the service crashes, Serve
// returns an error with code UpstreamFailed.
func (s *Service) Serve(ctx context.Context, listener net.Listener) error {
	return network.Serve(ctx, listener, s.Handler(), s.crashed)
}

// Crash simulates a crash of the service's process.
func (s *Service) Crash() {
	s.crashOnce.Do(func() { close(s.crashed) })
}

// Executions returns the execution counts so far.
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
		writeRefusal(w, faults.Leaving)
		return
	}
	defer s.release()
	if faults.ResetBefore > 0 {
		s.reset(w)
		return
	}
	// The execution continues even if the client disconnects.
	s.waitDelay(faults.Delay)
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

// admit returns the faults for a call and whether the call is admitted. It counts
// an admitted call as running and decrements ResetBefore or else ResetAfter.
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

// release ends a call that admit accepted.
func (s *Service) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

// waitDelay waits for the delay. It aborts the connection if the service crashes.
func (s *Service) waitDelay(delay time.Duration) {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-s.crashed:
		panic(http.ErrAbortHandler)
	}
}

// execute counts one execution and returns the number of executions of its key.
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

// reset resets the connection of the call.
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

// ApplyFaults applies the change to the injected faults.
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

// writeRefusal writes the response to a call that was not executed.
func writeRefusal(w http.ResponseWriter, leaving bool) {
	body := errorResponse{Error: errorBody{Message: "the service is full", Type: "standin_error", Code: "full"}}
	if leaving {
		w.Header().Set(StateHeader, StateLeaving)
		body.Error.Message = "the service is leaving"
		body.Error.Code = StateLeaving
	}
	writeJSON(w, http.StatusServiceUnavailable, body)
}

// writeJSON writes a JSON response. It ignores the error of the write: only the
// connection can fail, and then the response cannot be delivered.
func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
