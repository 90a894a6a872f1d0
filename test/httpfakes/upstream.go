package httpfakes

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"
)

// MarkerHeader names a call of a fake service.
const MarkerHeader = "X-Marker"

// PoisonMarker in a prompt crashes the engine that runs it.
const PoisonMarker = "poison"

// Execution is one run of a request.
type Execution struct {
	// Marker names the request.
	Marker string
	At     time.Time
	// Result differs between any two executions.
	Result string
}

// Upstream is a fake model engine and plain service. It counts executions by
// the marker of each request, and crashes as a whole, with all that it runs.
type Upstream struct {
	// Host is the name on the network and the ID of the upstream.
	Host string
	// Plan draws the faults; nil means none.
	Plan *Plan
	// Tokens is the length of every answer.
	Tokens int
	// TokenInterval is the time between tokens.
	TokenInterval time.Duration

	mu         sync.Mutex
	executions []Execution
	crashes    int
	crashed    chan struct{}
	pending    []Fault
}

// NewUpstream returns a fake without faults that answers in five tokens.
func NewUpstream(host string) *Upstream {
	return &Upstream{
		Host:          host,
		Tokens:        5,
		TokenInterval: 10 * time.Millisecond,
		crashed:       make(chan struct{}),
	}
}

// ServeOn serves the fake on the network.
func (u *Upstream) ServeOn(network *Network) {
	network.Serve(u.Host, u, u.atDial)
}

// Executions returns the runs so far.
func (u *Upstream) Executions() []Execution {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]Execution(nil), u.executions...)
}

// ExecutionCount returns how often the marked request was executed.
func (u *Upstream) ExecutionCount(marker string) int {
	count := 0
	for _, execution := range u.Executions() {
		if execution.Marker == marker {
			count++
		}
	}
	return count
}

// Crashes returns how often the upstream crashed as a whole.
func (u *Upstream) Crashes() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.crashes
}

// Crash breaks off everything that runs.
func (u *Upstream) Crash() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.crashes++
	close(u.crashed)
	u.crashed = make(chan struct{})
}

// QueueFaults fixes the faults of the next calls.
func (u *Upstream) QueueFaults(faults ...Fault) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.pending = append(u.pending, faults...)
}

// atDial draws the fault of the next call; those that strike later wait for it.
func (u *Upstream) atDial() Fault {
	if u.Plan == nil {
		return None
	}
	fault := u.Plan.Next()
	if fault == DialFailure || fault == ResetBeforeRead {
		return fault
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.pending = append(u.pending, fault)
	return None
}

// nextFault returns the fault drawn at the dial, or draws one for a call on a
// connection that was used before.
func (u *Upstream) nextFault() Fault {
	u.mu.Lock()
	defer u.mu.Unlock()
	if len(u.pending) > 0 {
		fault := u.pending[0]
		u.pending = u.pending[1:]
		return fault
	}
	if u.Plan == nil {
		return None
	}
	return u.Plan.Next()
}

// execute records one run and returns it with the channel that is closed when
// the upstream crashes.
func (u *Upstream) execute(marker string) (Execution, <-chan struct{}) {
	u.mu.Lock()
	defer u.mu.Unlock()
	run := Execution{Marker: marker, At: time.Now(), Result: fmt.Sprintf("%s/%d", u.Host, len(u.executions))}
	u.executions = append(u.executions, run)
	return run, u.crashed
}

// ServeHTTP implements http.Handler.
func (u *Upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	fault := u.nextFault()
	if fault == ResetBeforeRead || fault == DialFailure {
		panic(http.ErrAbortHandler)
	}
	body, err := io.ReadAll(r.Body)
	if err != nil || fault == ResetAfterRead {
		panic(http.ErrAbortHandler)
	}
	switch fault {
	case Overloaded:
		refuse(w, "overloaded")
		return
	case Leaving:
		refuse(w, "leaving")
		return
	case Slow:
		wait(r, time.Second)
	case Duplicate:
		u.duplicate(w, r, body)
		return
	}
	u.answer(w, r, body, fault)
}

// duplicateAfter is the time between an answer and its duplicate.
const duplicateAfter = 30 * time.Millisecond

// duplicate answers twice on the connection, and closes it then.
func (u *Upstream) duplicate(w http.ResponseWriter, r *http.Request, body []byte) {
	recorded := httptest.NewRecorder()
	u.answer(recorded, r, body, None)
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer conn.Close()
	text := recorded.Body.String()
	whole := fmt.Sprintf("HTTP/1.1 %d OK\r\nContent-Length: %d\r\n\r\n%s", recorded.Code, len(text), text)
	_, _ = io.WriteString(conn, whole)
	time.Sleep(duplicateAfter)
	_, _ = io.WriteString(conn, whole)
}

// answer executes the request.
func (u *Upstream) answer(w http.ResponseWriter, r *http.Request, body []byte, fault Fault) {
	if strings.HasSuffix(r.URL.Path, "/chat/completions") {
		u.serveChat(w, r, body, fault)
		return
	}
	u.serveService(w, r, body, fault)
}

func refuse(w http.ResponseWriter, code string) {
	w.WriteHeader(http.StatusServiceUnavailable)
	fmt.Fprintf(w, `{"error":{"code":%q}}`, code)
}

func wait(r *http.Request, d time.Duration) {
	select {
	case <-time.After(d):
	case <-r.Context().Done():
		panic(http.ErrAbortHandler)
	}
}

// ServiceAnswer is the body of a fake service's answer.
type ServiceAnswer struct {
	Marker string `json:"marker"`
	// Result names the execution.
	Result string `json:"result"`
	Body   string `json:"body"`
}

func (u *Upstream) serveService(w http.ResponseWriter, r *http.Request, body []byte, fault Fault) {
	run, _ := u.execute(r.Header.Get(MarkerHeader))
	if fault == CrashAfterExecute {
		panic(http.ErrAbortHandler)
	}
	wait(r, u.TokenInterval)
	answer, err := json.Marshal(ServiceAnswer{Marker: run.Marker, Result: run.Result, Body: string(body)})
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if fault == CrashMidStream {
		w.Header().Set("Content-Length", fmt.Sprint(len(answer)))
		_, _ = w.Write(answer[:len(answer)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(answer)
}
