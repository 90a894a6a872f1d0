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

// MarkerHeader is the header that identifies a call to a fake service.
const MarkerHeader = "X-Marker"

// PoisonMarker crashes the engine that executes a prompt with a message containing it.
const PoisonMarker = "poison"

// Execution is one run of a request.
type Execution struct {
	// Marker identifies the request.
	Marker string
	At     time.Time
	// Result is different for each execution.
	Result string
	// Poisoned is set if the prompt contains PoisonMarker.
	Poisoned bool
}

// Upstream is a fake that serves as model engine and as plain service. It records
// executions with the marker of each request. A crash aborts all running chat
// completions.
type Upstream struct {
	// Host is the host name on the network and the ID of the upstream.
	Host string
	// Plan draws the faults; nil means no faults.
	Plan *Plan
	// Tokens is the number of tokens in each answer.
	Tokens int
	// TokenInterval is the time between two tokens, and the time that a service call
	// takes.
	TokenInterval time.Duration
	// Pause is how long the fault Pause interrupts a stream.
	Pause time.Duration
	// Downtime is the time after a crash for which connections are refused.
	Downtime time.Duration

	mu           sync.Mutex
	executions   []Execution
	crashes      int
	crashed      chan struct{}
	downUntil    time.Time
	queuedFaults []Fault
}

// NewUpstream returns a fake without faults whose answers have five tokens.
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
	network.Serve(u.Host, u, u.drawDialFault)
}

// Executions returns the executions so far.
func (u *Upstream) Executions() []Execution {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]Execution(nil), u.executions...)
}

// ExecutionCount returns the number of executions of the request with the marker.
func (u *Upstream) ExecutionCount(marker string) int {
	count := 0
	for _, execution := range u.Executions() {
		if execution.Marker == marker {
			count++
		}
	}
	return count
}

// Crashes returns the number of crashes of the upstream.
func (u *Upstream) Crashes() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.crashes
}

// Crash aborts all running chat completions.
func (u *Upstream) Crash() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.crashes++
	u.downUntil = time.Now().Add(u.Downtime)
	close(u.crashed)
	u.crashed = make(chan struct{})
}

// QueueFaults sets the faults of the next calls, in order.
func (u *Upstream) QueueFaults(faults ...Fault) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.queuedFaults = append(u.queuedFaults, faults...)
}

// drawDialFault draws the fault of the next call at its dial. A fault that takes
// effect after the dial is queued for the call.
func (u *Upstream) drawDialFault() Fault {
	if u.isDown() {
		return DialFailure
	}
	if u.Plan == nil {
		return None
	}
	fault := u.Plan.Next()
	if fault == DialFailure || fault == ResetBeforeRead {
		return fault
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.queuedFaults = append(u.queuedFaults, fault)
	return None
}

func (u *Upstream) isDown() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return time.Now().Before(u.downUntil)
}

// nextFault returns the next queued fault. If there is none, as for a call on a
// reused connection, it draws one.
func (u *Upstream) nextFault() Fault {
	u.mu.Lock()
	defer u.mu.Unlock()
	if len(u.queuedFaults) > 0 {
		fault := u.queuedFaults[0]
		u.queuedFaults = u.queuedFaults[1:]
		return fault
	}
	if u.Plan == nil {
		return None
	}
	return u.Plan.Next()
}

// execute records an execution and returns it with a channel that is closed when
// the upstream crashes.
func (u *Upstream) execute(marker string, poisoned bool) (Execution, <-chan struct{}) {
	u.mu.Lock()
	defer u.mu.Unlock()
	run := Execution{Marker: marker, At: time.Now(), Result: fmt.Sprintf("%s/%d", u.Host, len(u.executions)), Poisoned: poisoned}
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

// duplicateDelay is the time between a response and its duplicate.
const duplicateDelay = 30 * time.Millisecond

// duplicate sends the response twice on the connection and then closes it.
func (u *Upstream) duplicate(w http.ResponseWriter, r *http.Request, body []byte) {
	recorded := httptest.NewRecorder()
	u.answer(recorded, r, body, None)
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer conn.Close()
	text := recorded.Body.String()
	response := fmt.Sprintf("HTTP/1.1 %d OK\r\nContent-Length: %d\r\n\r\n%s", recorded.Code, len(text), text)
	_, _ = io.WriteString(conn, response)
	time.Sleep(duplicateDelay)
	_, _ = io.WriteString(conn, response)
}

// answer executes the request and writes the response.
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

// ServiceAnswer is the response body of a fake service.
type ServiceAnswer struct {
	Marker string `json:"marker"`
	// Result identifies the execution.
	Result string `json:"result"`
	Body   string `json:"body"`
}

func (u *Upstream) serveService(w http.ResponseWriter, r *http.Request, body []byte, fault Fault) {
	run, _ := u.execute(r.Header.Get(MarkerHeader), false)
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
