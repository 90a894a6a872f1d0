//go:build review

package lib2

import (
	"context"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// HeartbeatMs is how often a worker writes its entry.
const HeartbeatMs = 1200 * time.Millisecond

// Run is one run of a request at a worker.
type Run struct {
	Request, Worker, Service, Version, Tenant, Path string
	At                                              time.Duration
}

// Worker is a stand-in of a worker.
type Worker struct {
	Service, ID, Zone string
	Slots             int
	// Work is how long a request takes that is no stream, and EventGap the time between the
	// events of a stream.
	Work, EventGap time.Duration

	// respond, if set, answers in place of the usual answer. It reports whether it did.
	respond  Responder
	store    *Store
	record   *Record
	listener *powerListener

	mu       sync.Mutex
	version  string
	born     time.Time
	state    string
	sequence int
	active   int
	runs     []Run
	arrivals []Run
	silent   chan struct{}
	process  context.Context
	end      context.CancelFunc
	// registered reports whether the store has the entry of this process.
	registered, unlisted bool
}

// Responder answers a request that a worker runs, and reports whether it did.
type Responder func(w *Worker, out http.ResponseWriter, r *http.Request) bool

// SetRespond sets what answers in place of the usual answer, or nil.
func (w *Worker) SetRespond(respond Responder) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.respond = respond
}

// Address returns the address of the worker.
func (w *Worker) Address() string { return w.listener.Addr().String() }

// NewWorker starts a worker at the address and writes its entry.
func NewWorker(service, id, zone, version, address string, store *Store, record *Record) (*Worker, error) {
	inner, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	w := &Worker{Service: service, ID: id, Zone: zone, Slots: 64, Work: 60 * time.Millisecond, EventGap: 70 * time.Millisecond, store: store, record: record}
	w.listener = newPowerListener(inner)
	w.begin(version)
	go func() { _ = (&http.Server{Handler: http.HandlerFunc(w.serve)}).Serve(w.listener) }()
	go w.heartbeats()
	return w, nil
}

// begin begins a new process of the worker.
func (w *Worker) begin(version string) {
	w.mu.Lock()
	w.version, w.born, w.state, w.sequence, w.active, w.registered = version, time.Now(), "ready", 0, 0, false
	w.process, w.end = context.WithCancel(context.Background())
	w.mu.Unlock()
	w.publish()
}

func (w *Worker) heartbeats() {
	for range time.Tick(HeartbeatMs) {
		w.mu.Lock()
		alive := w.process.Err() == nil
		w.mu.Unlock()
		if alive {
			w.publish()
		}
	}
}

// publish writes the entry.
func (w *Worker) publish() {
	w.mu.Lock()
	w.sequence++
	entry := map[string]any{"Service": w.Service, "Address": w.listener.Addr().String(), "Zone": w.Zone, "Version": w.version, "SlotCount": w.Slots,
		"State": w.state, "ColdRemainingMs": 0, "Sequence": w.sequence, "born": w.born.UnixMilli()}
	unlisted := w.unlisted
	w.mu.Unlock()
	if !unlisted && w.store.PutEntry(w.ID, entry) {
		w.mu.Lock()
		w.registered = true
		w.mu.Unlock()
	}
}

// Touch writes the entry again.
func (w *Worker) Touch() {
	w.mu.Lock()
	alive := w.process.Err() == nil
	w.mu.Unlock()
	if alive {
		w.publish()
	}
}

// SetState writes a new state.
func (w *Worker) SetState(state string) {
	w.mu.Lock()
	w.state = state
	w.mu.Unlock()
	w.record.Add("worker %s is %s", w.ID, state)
	w.publish()
}

// Unlist removes the entry; the worker serves on.
func (w *Worker) Unlist() {
	w.mu.Lock()
	w.unlisted = true
	w.mu.Unlock()
	w.store.Remove("servers/" + w.ID)
}

// PowerOff makes the machine of the worker dark: it answers nothing, and new connections hang.
func (w *Worker) PowerOff() {
	w.record.Add("worker %s loses power", w.ID)
	w.listener.off(true)
	w.mu.Lock()
	w.end()
	w.mu.Unlock()
}

// PowerOn starts the machine again, with a new process under the same ID and address. Connections
// from before are reset.
func (w *Worker) PowerOn(version string) {
	w.begin(version)
	w.record.Add("worker %s is back, version %s, born %d", w.ID, version, w.born.UnixMilli())
	w.listener.back()
}

// Crash ends the process of the worker: its connections are reset, and new ones refused.
func (w *Worker) Crash() {
	w.record.Add("worker %s crashes", w.ID)
	w.mu.Lock()
	w.end()
	listener := w.listener
	w.mu.Unlock()
	listener.off(false)
	_ = listener.TCPListener.Close()
	listener.resetAll()
}

// Restart starts the worker again at its address, after Crash.
func (w *Worker) Restart(id, version string) error {
	inner, err := net.Listen("tcp", w.Address())
	if err != nil {
		return err
	}
	w.mu.Lock()
	w.ID, w.listener, w.unlisted = id, newPowerListener(inner), false
	listener := w.listener
	w.mu.Unlock()
	w.begin(version)
	w.record.Add("worker %s is back, version %s", id, version)
	go func() { _ = (&http.Server{Handler: http.HandlerFunc(w.serve)}).Serve(listener) }()
	return nil
}

// FallSilent makes the worker silent until the returned function is called.
func (w *Worker) FallSilent() (goOn func()) {
	w.record.Add("worker %s falls silent", w.ID)
	silent := make(chan struct{})
	w.mu.Lock()
	w.silent = silent
	w.mu.Unlock()
	return func() {
		w.record.Add("worker %s goes on", w.ID)
		w.mu.Lock()
		w.silent = nil
		w.mu.Unlock()
		close(silent)
	}
}

// awaitVoice waits while the worker is silent.
func (w *Worker) awaitVoice() {
	w.mu.Lock()
	silent := w.silent
	w.mu.Unlock()
	if silent != nil {
		<-silent
	}
}

// Active returns the number of requests at work.
func (w *Worker) Active() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.active
}

// Runs returns the runs so far.
func (w *Worker) Runs() []Run {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]Run(nil), w.runs...)
}

// Arrivals returns the requests that have reached the worker, also those that it did not run.
func (w *Worker) Arrivals() []Run {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]Run(nil), w.arrivals...)
}

// Seal is the seal of an answer.
func Seal(id string) string { return fmt.Sprintf("seal.%08x", hash(id)) }

// Body is the body of an answer that is no stream.
func Body(id string) string { return fmt.Sprintf("%0800x", hash("body"+id)) }

// Events is the number of events of a stream.
func Events(stream string) int { return 55 + int(hash(stream)%36) }

func hash(text string) uint32 {
	h := fnv.New32a()
	_, _ = io.WriteString(h, text)
	return h.Sum32()
}

func (w *Worker) serve(out http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Umbercrank-Request-Id")
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	w.mu.Lock()
	run := Run{Request: id, Worker: w.ID, Service: w.Service, Version: w.version, Tenant: r.Header.Get("X-Umbercrank-Tenant-Id"), Path: r.RequestURI, At: w.record.Now()}
	w.arrivals = append(w.arrivals, run)
	process := w.process
	w.mu.Unlock()
	w.awaitVoice()
	out.Header().Set("X-Umbercrank-Request-Id", id)
	refuse := func(status int) {
		out.Header().Set("X-Umbercrank-Not-Executed", "1")
		out.WriteHeader(status)
		w.record.Add("worker %s rejects %s: %d", w.ID, id, status)
	}
	switch {
	case id == "":
		refuse(http.StatusBadRequest)
		return
	case r.Header.Get("X-Umbercrank-Expect-Instance") != "" && r.Header.Get("X-Umbercrank-Expect-Instance") != w.ID:
		refuse(http.StatusMisdirectedRequest)
		return
	}
	w.mu.Lock()
	full, respond := w.active >= w.Slots, w.respond
	if !full {
		w.active++
		w.runs = append(w.runs, run)
	}
	w.mu.Unlock()
	if full {
		refuse(http.StatusServiceUnavailable)
		return
	}
	defer func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.process == process {
			w.active--
		}
	}()
	w.record.Add("worker %s version %s runs %s %s (%d bytes) from %s, Last-Event-Id %q, Resumes %q", w.ID, run.Version, id, r.RequestURI, len(body), r.RemoteAddr, r.Header.Get("Last-Event-Id"), r.Header.Get("Resumes"))
	if respond != nil && respond(w, out, r) {
		return
	}
	out.Header().Set("X-Umbercrank-Response-Seal", Seal(id))
	if !IsStream(r.URL.Path) {
		if !w.wait(process, r, w.Work) {
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(out, Body(id))
		return
	}
	w.stream(process, out, r, id, run.Version)
}

// IsStream reports whether requests with the path get streams.
func IsStream(path string) bool { return len(path) > 3 && path[:3] == "/st" }

// wait works for the time, and returns false if the process or the request has ended.
func (w *Worker) wait(process context.Context, r *http.Request, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-process.Done():
		return false
	case <-r.Context().Done():
		return false
	}
	w.awaitVoice()
	return true
}

func (w *Worker) stream(process context.Context, out http.ResponseWriter, r *http.Request, id, version string) {
	name, first := id, 0
	if began := r.Header.Get("Resumes"); began != "" {
		name = began
	}
	if last, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	control := http.NewResponseController(out)
	out.Header().Set("Content-Type", "text/event-stream")
	for n := first; n < Events(name); n++ {
		if !w.wait(process, r, w.EventGap) {
			panic(http.ErrAbortHandler)
		}
		fmt.Fprintf(out, "id: %d\ndata: %s %d %s %s\n\n", n, name, n, version, w.ID)
		if control.Flush() != nil {
			return
		}
	}
}

// powerListener is the listener of a machine that may lose its power. Without power, connections
// carry nothing and new ones hang.
type powerListener struct {
	*net.TCPListener
	mu    sync.Mutex
	on    chan struct{}
	dark  bool
	conns map[*powerConn]struct{}
	fill  []net.Conn
}

func newPowerListener(inner net.Listener) *powerListener {
	l := &powerListener{TCPListener: inner.(*net.TCPListener), on: make(chan struct{}), conns: make(map[*powerConn]struct{})}
	close(l.on)
	return l
}

func (l *powerListener) isOn() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.dark
}

// backlog sets how many connections the kernel accepts by itself.
func (l *powerListener) backlog(n int) {
	raw, err := l.SyscallConn()
	if err != nil {
		panic(err)
	}
	_ = raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), n) })
}

func (l *powerListener) off(hang bool) {
	l.mu.Lock()
	l.dark, l.on = true, make(chan struct{})
	l.mu.Unlock()
	if !hang {
		return
	}
	l.backlog(0)
	// These fill the queue, so that the kernel answers no further connection.
	for range 4 {
		if conn, err := net.DialTimeout("tcp", l.Addr().String(), 30*time.Millisecond); err == nil {
			l.fill = append(l.fill, conn)
		}
	}
}

// resetAll resets the connections from before, and lets new ones through.
func (l *powerListener) resetAll() {
	l.mu.Lock()
	conns := l.conns
	l.conns = make(map[*powerConn]struct{})
	l.dark = false
	close(l.on)
	l.mu.Unlock()
	for conn := range conns {
		conn.reset()
	}
}

func (l *powerListener) back() {
	l.resetAll()
	l.mu.Lock()
	fill := l.fill
	l.fill = nil
	l.mu.Unlock()
	for _, conn := range fill {
		_ = conn.Close()
	}
	l.backlog(512)
}

// Accept implements net.Listener.
func (l *powerListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.TCPListener.Accept()
		if err != nil {
			return nil, err
		}
		l.mu.Lock()
		on, dark := l.on, l.dark
		p := &powerConn{Conn: conn, listener: l, ended: make(chan struct{})}
		if !dark {
			l.conns[p] = struct{}{}
		}
		l.mu.Unlock()
		if !dark {
			return p, nil
		}
		<-on
		p.reset()
	}
}

// powerConn is a connection of a machine that may lose its power.
type powerConn struct {
	net.Conn
	listener *powerListener
	once     sync.Once
	ended    chan struct{}
}

// await waits while there is no power; the connection has ended then.
func (c *powerConn) await() error {
	c.listener.mu.Lock()
	dark := c.listener.dark
	c.listener.mu.Unlock()
	if dark {
		<-c.ended
	}
	select {
	case <-c.ended:
		return net.ErrClosed
	default:
		return nil
	}
}

// Read implements net.Conn.
func (c *powerConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if ended := c.await(); ended != nil {
		return 0, ended
	}
	return n, err
}

// Write implements net.Conn.
func (c *powerConn) Write(b []byte) (int, error) {
	if err := c.await(); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

// Close implements net.Conn. Without power nothing is sent.
func (c *powerConn) Close() error {
	if err := c.await(); err != nil {
		return err
	}
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}

// reset resets the connection.
func (c *powerConn) reset() {
	c.once.Do(func() {
		if tcp, ok := c.Conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Conn.Close()
		close(c.ended)
	})
}
