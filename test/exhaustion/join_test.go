package exhaustion

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// Last bytes of the IP addresses; those of the instances start at 1.
const (
	storeHost  = 240
	workerHost = 242
)

// The limits of the configuration. A connection may be idle for longer than a test takes.
const (
	routeTimeout  = 30 * time.Second
	headerTimeout = 30 * time.Second
	idleTimeout   = 10 * time.Minute
)

// fleet is a system of `join` with its store and a worker.
type fleet struct {
	instances []*instance
	worker    *worker
}

// worker answers every request, but not those of an instance that is cut off from it.
type worker struct {
	net.Listener
	id string
	// accepted has the connections that are served.
	accepted chan net.Conn
	// cut is the process ID of the instance that is cut off, or zero.
	cut atomic.Int64
}

// Accept implements net.Listener.
func (w *worker) Accept() (net.Conn, error) {
	conn, ok := <-w.accepted
	if !ok {
		return nil, net.ErrClosed
	}
	return conn, nil
}

// run accepts connections and resets those of the instance that is cut off.
func (w *worker) run() {
	defer close(w.accepted)
	var checking sync.WaitGroup
	defer checking.Wait()
	for {
		conn, err := w.Listener.Accept()
		if err != nil {
			return
		}
		checking.Go(func() {
			if pid := w.cut.Load(); pid == 0 || !isFrom(conn, int(pid)) {
				w.accepted <- conn
				return
			}
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
		})
	}
}

// hexAddress returns an address as the kernel lists it.
func hexAddress(address net.Addr) string {
	tcp := address.(*net.TCPAddr)
	return fmt.Sprintf("%s:%04X", hexIP(tcp.IP), tcp.Port)
}

// isFrom reports whether a process has opened a connection.
func isFrom(conn net.Conn, pid int) bool {
	local, remote := hexAddress(conn.RemoteAddr()), hexAddress(conn.LocalAddr())
	all := sockets()
	at := slices.IndexFunc(all, func(fields []string) bool { return fields[1] == local && fields[2] == remote })
	if at < 0 {
		return false
	}
	directory := fmt.Sprintf("/proc/%d/fd", pid)
	descriptors, _ := os.ReadDir(directory)
	return slices.ContainsFunc(descriptors, func(d os.DirEntry) bool {
		target, _ := os.Readlink(filepath.Join(directory, d.Name()))
		return target == "socket:["+all[at][9]+"]"
	})
}

// ServeHTTP answers a request as a worker of the platform.
func (w *worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Umbercrank-Request-Id")
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	out.Header().Set("X-Umbercrank-Request-Id", id)
	out.Header().Set("X-Umbercrank-Response-Seal", "seal-"+id)
	_, _ = io.WriteString(out, "done")
}

// item is an item of the store.
type item struct {
	Key                         string
	Value                       []byte
	Revision, CreatedRev, Lease uint64
}

// storeHandler serves items that never change.
func storeHandler(values map[string]any) http.Handler {
	const revision = 100
	var items []item
	for key, value := range values {
		text, err := json.Marshal(value)
		if err != nil {
			panic(err)
		}
		items = append(items, item{Key: key, Value: text, Revision: revision, CreatedRev: revision})
	}
	slices.SortFunc(items, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-range", func(w http.ResponseWriter, r *http.Request) {
		answer := struct {
			Items         []item
			StoreRevision uint64
		}{StoreRevision: revision}
		for _, i := range items {
			if strings.HasPrefix(i.Key, r.URL.Query().Get("Prefix")) && i.Key > r.URL.Query().Get("After") {
				answer.Items = append(answer.Items, i)
			}
		}
		_ = json.NewEncoder(w).Encode(answer)
	})
	mux.HandleFunc("GET /kv-watch", func(w http.ResponseWriter, r *http.Request) {
		milliseconds, _ := strconv.Atoi(r.URL.Query().Get("WaitMs"))
		select {
		case <-time.After(time.Duration(milliseconds) * time.Millisecond):
		case <-r.Context().Done():
		}
		_, _ = fmt.Fprintf(w, `{"events":[],"StoreRevision":%d}`, revision)
	})
	return mux
}

// serveHTTP serves a handler until the test ends.
func serveHTTP(t *testing.T, listener net.Listener, handler http.Handler) {
	t.Helper()
	server := &http.Server{Handler: handler, MaxHeaderBytes: 1 << 20}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
}

func listen(t *testing.T, host string) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		t.Fatal(err)
	}
	return listener
}

// startFleet starts instances with a store and a worker, and waits until all of them serve.
func startFleet(t *testing.T, size int) *fleet {
	t.Helper()
	host := hosts()
	w := &worker{Listener: listen(t, host(workerHost)), id: "worker-1", accepted: make(chan net.Conn, crowdSize)}
	go w.run()
	serveHTTP(t, w, w)
	routes := []map[string]any{
		{"Name": "looks", "Host": "h.example", "Prefix": "/looks/", "Kind": "safe", "Service": "alpha", "TimeoutMs": routeTimeout.Milliseconds(), "TargetLatencyMs": 500, "Priority": 1, "MaxAttempts": 2},
	}
	store := listen(t, host(storeHost))
	serveHTTP(t, store, storeHandler(map[string]any{
		"op/config": map[string]any{
			"Version": 1, "Routes": routes, "Services": []map[string]any{{"Name": "alpha"}},
			"Limits": map[string]any{"MaxHeaderBytes": maxHeaderBytes, "MaxBodyBytes": maxBodyBytes, "HeaderTimeoutMs": headerTimeout.Milliseconds(), "IdleTimeoutMs": idleTimeout.Milliseconds()},
		},
		"servers/" + w.id: map[string]any{
			"Service": "alpha", "Address": w.Addr().String(), "Zone": "z", "Version": "1", "SlotCount": 64, "State": "ready", "ColdRemainingMs": 0, "Sequence": 1, "born": time.Now().UnixMilli(),
		},
	}))
	f := &fleet{worker: w}
	for n := range size {
		f.instances = append(f.instances, startJoin(t, host, n+1, size, store.Addr().String()))
	}
	for _, i := range f.instances {
		if !await(func() bool { return get("http://"+i.addresses["readiness"]+"/readiness") == nil }) {
			t.Fatalf("%s is not ready", i.name)
		}
		if !await(func() bool { return ordinary(callersOf(i)) == nil }) {
			t.Fatalf("%s does not serve", i.name)
		}
	}
	return f
}

// startJoin starts an instance of `join`.
func startJoin(t *testing.T, host func(int) string, number, size int, store string) *instance {
	t.Helper()
	var seeds []string
	for n := range size {
		seeds = append(seeds, net.JoinHostPort(host(n+1), "8748"))
	}
	own := host(number)
	path := filepath.Join(t.TempDir(), "settings")
	text := fmt.Sprintf(`NodeName=node-%d
Zone=z
Region=r
IpAddress=%[2]s
Listen.Front=%[2]s:8740
Listen.Ready=%[2]s:8749
Listen.Control=%[2]s:8748
Listen.Directory=%[2]s:8746
InternalPorts=7200,7215
SeedAddrs=%s
Limits.MemoryMb=%d
Limits.MaxFds=%d
Limits.CpuShare=1
Bounds.GraceS=8
Bounds.RetryBudgetRatio=0.2
Bounds.BudgetSlack=56
Bounds.BudgetWindowS=10
Platform.Address=%s
`, number, own, strings.Join(seeds, ","), memoryMB, maxDescriptors, store)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	addresses := map[string]string{"callers": own + ":8740", "readiness": own + ":8749", "directory": own + ":8746", "metrics": own + ":7215"}
	return startInstance(t, fmt.Sprintf("node-%d", number), own, addresses, []string{"UMBERCRANK_CONFIG=" + path, "UMBERCRANK_PEER_SECRET=exhaustion"}, "join")
}

// callersOf is the port for callers of an instance of `join`.
func callersOf(i *instance) endpoint {
	return endpoint{address: i.addresses["callers"], method: "POST", target: "/looks/x", fields: func(client int) string {
		return fmt.Sprintf("Host: h.example\r\nX-Umbercrank-Request-Id: r%d-%d\r\nX-Umbercrank-Deadline-Ms: %d\r\n", client, time.Now().UnixNano(), routeTimeout.Milliseconds())
	}}
}

// auxiliaryOf are the other ports of an instance of `join` that are reached from outside.
func auxiliaryOf(i *instance) map[string]endpoint {
	host := func(int) string { return "Host: h.example\r\n" }
	return map[string]endpoint{
		"directory": {address: i.addresses["directory"], method: "GET", target: "/resolve?Name=h.example", fields: host},
		"readiness": {address: i.addresses["readiness"], method: "GET", target: "/readiness", fields: host},
		"metrics":   {address: i.addresses["metrics"], method: "GET", target: "/debug/vars", fields: host},
	}
}

// TestCallersOfJoin lets a crowd abuse the port for callers.
func TestCallersOfJoin(t *testing.T) {
	for _, a := range append(stalling(), idleConnections) {
		t.Run(a.name, func(t *testing.T) {
			f := startFleet(t, 1)
			callers := callersOf(f.instances[0])
			checkAbuse(t, a, callers, func() error { return ordinary(callers) }, f.instances...)
		})
	}
}

// TestAuxiliaryPortsOfJoin lets a crowd abuse the ports for addresses, readiness and metrics.
func TestAuxiliaryPortsOfJoin(t *testing.T) {
	for _, port := range []string{"directory", "readiness", "metrics"} {
		for _, a := range append(stalling(), idleConnections) {
			t.Run(port+"/"+a.name, func(t *testing.T) {
				f := startFleet(t, 1)
				e := auxiliaryOf(f.instances[0])[port]
				callers := callersOf(f.instances[0])
				checkAbuse(t, a, e, func() error {
					if err := get("http://" + e.address + e.target); err != nil {
						return err
					}
					return ordinary(callers)
				}, f.instances...)
			})
		}
	}
}

// TestCarryingInstanceOfJoin lets a crowd abuse an instance whose requests another instance carries to the
// worker.
func TestCarryingInstanceOfJoin(t *testing.T) {
	for _, a := range append(complete(), group("open/", openBodies())...) {
		t.Run(a.name, func(t *testing.T) {
			f := startFleet(t, 2)
			f.worker.cut.Store(int64(f.instances[0].command.Process.Pid))
			callers := callersOf(f.instances[0])
			if !await(func() bool { return ordinary(callers) == nil }) {
				t.Fatal("no request is carried by the other instance")
			}
			checkAbuse(t, a, callers, func() error { return ordinary(callers) }, f.instances...)
		})
	}
}

// TestLegalRequestIsServedByJoin checks that each request inside the limits is served in calm.
func TestLegalRequestIsServedByJoin(t *testing.T) {
	f := startFleet(t, 1)
	callers := callersOf(f.instances[0])
	for _, a := range complete() {
		t.Run(a.name, func(t *testing.T) {
			if err := exchange(callers.address, func(to io.Writer) error { return a.send(to, callers, 0) }); err != nil {
				t.Error(err)
			}
		})
	}
}
