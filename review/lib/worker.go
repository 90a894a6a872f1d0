//go:build review

package lib

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Arrival is a request as a worker got it.
type Arrival struct {
	At                     time.Time
	Worker, ID, Method     string
	Target, Tenant, Resume string
	Body                   int
	Run                    bool
}

// Worker is a stand-in for a sound worker of the platform.
type Worker struct {
	ID, Service, Version string
	Slots                int
	// Work is the time before the answer or the first event, Events and Pause the events of a
	// stream and the time between two.
	Work   time.Duration
	Events int
	Pause  time.Duration
	// Queue is the number of requests that may wait for a slot. Brittle, if not zero, is the number of
	// requests that the worker may turn away in a second before it falls over, from FallsFrom on;
	// it says so in all its answers. OnFall is called then.
	Queue     int
	Brittle   int
	FallsFrom time.Time
	OnFall    func(*Worker)

	run     *Run
	address string
	born    int64
	server  *http.Server

	mu       sync.Mutex
	active   int
	arrivals []Arrival
	// places has a token for each slot. turnedAway are the times of the latest refusals.
	places     chan struct{}
	turnedAway []time.Time
	fallen     bool
	broken     int
}

// AddWorker starts a worker and writes its entry.
func (r *Run) AddWorker(w *Worker) *Worker {
	w.run, w.born = r, time.Now().UnixMilli()
	w.places = make(chan struct{}, w.Slots)
	listener, err := net.Listen("tcp", r.Host(230)+":0")
	if err != nil {
		r.NotRun("worker: %v", err)
	}
	w.address = listener.Addr().String()
	w.server = &http.Server{Handler: w}
	go func() { _ = w.server.Serve(listener) }()
	r.Store.Put("servers/"+w.ID, w.entry())
	return w
}

func (w *Worker) entry() map[string]any {
	return map[string]any{"Service": w.Service, "Address": w.address, "Zone": "z", "Version": w.Version, "SlotCount": w.Slots,
		"State": "ready", "ColdRemainingMs": 0, "Sequence": 1, "born": w.born}
}

// turnAway counts a refusal for want of room, and lets the worker fall over if there are too many.
// w.mu must be held.
func (w *Worker) turnAway() {
	now := time.Now()
	w.turnedAway = append(w.turnedAway, now)
	for len(w.turnedAway) > 0 && now.Sub(w.turnedAway[0]) > time.Second {
		w.turnedAway = w.turnedAway[1:]
	}
	if w.Brittle == 0 || w.fallen || now.Before(w.FallsFrom) || len(w.turnedAway) <= w.Brittle {
		return
	}
	w.fallen = true
	w.run.Logf("worker %s falls over: it had to turn away %d requests in a second, with %d running or waiting", w.ID, len(w.turnedAway), w.active)
	go func() {
		// A moment passes until the answers that were begun are out.
		time.Sleep(5 * time.Millisecond)
		_ = w.server.Close()
		time.AfterFunc(3*1200*time.Millisecond, func() { w.run.Store.Remove("servers/" + w.ID) })
		w.OnFall(w)
	}()
}

// Broken returns how many requests the worker was running when it fell over.
func (w *Worker) Broken() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.broken
}

// Arrivals returns the requests that the worker got.
func (w *Worker) Arrivals() []Arrival {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]Arrival(nil), w.arrivals...)
}

func (w *Worker) note(a Arrival) {
	w.mu.Lock()
	w.arrivals = append(w.arrivals, a)
	w.mu.Unlock()
	w.run.Logf("worker %s: %s %s of %s, body %d, tenant %s, run %v", w.ID, a.Method, a.Target, a.ID, a.Body, a.Tenant, a.Run)
}

// ServeHTTP implements http.Handler.
func (w *Worker) ServeHTTP(out http.ResponseWriter, in *http.Request) {
	id := in.Header.Get("X-Umbercrank-Request-Id")
	out.Header().Set("X-Umbercrank-Instance-Id", w.ID)
	body, err := io.ReadAll(in.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	arrival := Arrival{At: time.Now(), Worker: w.ID, ID: id, Method: in.Method, Target: in.RequestURI, Tenant: in.Header.Get("X-Umbercrank-Tenant-Id"), Body: len(body), Resume: in.Header.Get("Resumes")}
	status := 0
	w.mu.Lock()
	switch expected := in.Header.Get("X-Umbercrank-Expect-Instance"); {
	case expected != "" && expected != w.ID:
		status = http.StatusMisdirectedRequest
	case id == "":
		status = http.StatusBadRequest
	case w.active >= w.Slots+w.Queue:
		status = http.StatusServiceUnavailable
		w.turnAway()
	default:
		w.active++
	}
	w.mu.Unlock()
	out.Header().Set("X-Umbercrank-Request-Id", id)
	if w.Brittle > 0 {
		out.Header().Set("Server-Brittle", strconv.Itoa(w.Brittle))
	}
	if status != 0 {
		w.note(arrival)
		out.Header().Set("X-Umbercrank-Not-Executed", "1")
		out.WriteHeader(status)
		return
	}
	defer func() {
		w.mu.Lock()
		w.active--
		w.mu.Unlock()
	}()
	select {
	case w.places <- struct{}{}:
		defer func() { <-w.places }()
	case <-in.Context().Done():
		return
	}
	arrival.Run = true
	w.note(arrival)
	select {
	case <-time.After(w.Work):
	case <-in.Context().Done():
		w.mu.Lock()
		if w.fallen {
			w.broken++
		}
		w.mu.Unlock()
		return
	}
	out.Header().Set("X-Umbercrank-Response-Seal", "s."+id)
	if w.Events == 0 {
		text := "answer to " + id
		out.Header().Set("Content-Length", strconv.Itoa(len(text)))
		_, _ = io.WriteString(out, text)
		return
	}
	first := 1
	if last, err := strconv.Atoi(strings.TrimSpace(in.Header.Get("Last-Event-Id"))); err == nil {
		first = last + 1
	}
	out.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(out)
	for n := first; n <= w.Events; n++ {
		if _, err := fmt.Fprintf(out, "id: %d\ndata: event %d\n\n", n, n); err != nil {
			return
		}
		if control.Flush() != nil {
			return
		}
		select {
		case <-time.After(w.Pause):
		case <-in.Context().Done():
			return
		}
	}
}
