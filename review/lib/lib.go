//go:build review

// Package lib holds the stand-ins of the review's scripts: the platform's store, workers, clients
// and the part of the platform that starts, stops and kills processes. All of them listen on
// loopback addresses.
package lib

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a script.
const (
	ExitHeld    = 0
	ExitBroken  = 1
	ExitNotRun  = 2
	maxDuration = 115 * time.Second
)

// Run is one run of a case.
type Run struct {
	// Trouble is false if the case runs without its disruption.
	Trouble bool
	Store   *Store
	Nodes   []*Node

	dir, root, subnet string
	began             time.Time
	mu                sync.Mutex
	record            *os.File
}

// Start prepares a run whose record is written into the folder of the script. It ends the program
// if that is not possible.
func Start() *Run {
	r := &Run{Trouble: os.Getenv("TROUBLE") != "0", began: time.Now(), root: os.Getenv("REVIEW_ROOT")}
	folder := os.Getenv("REVIEW_CASE")
	if r.root == "" || folder == "" {
		fmt.Fprintln(os.Stderr, "to be started by run.sh")
		os.Exit(ExitNotRun)
	}
	var err error
	if r.record, err = os.Create(filepath.Join(folder, "record.txt")); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(ExitNotRun)
	}
	if r.dir, err = os.MkdirTemp("", "review"); err != nil {
		r.NotRun("no temporary folder: %v", err)
	}
	r.subnet = r.freeSubnet()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case <-signals:
		case <-time.After(maxDuration):
		}
		r.NotRun("the run was ended before its end")
	}()
	r.Logf("run begins, disruption: %v", r.Trouble)
	r.Store = newStore(r.Host(240) + ":8742")
	if err := r.Store.listen(); err != nil {
		r.NotRun("store: %v", err)
	}
	return r
}

// freeSubnet returns the beginning of loopback addresses whose ports are free.
func (r *Run) freeSubnet() string {
	for range 50 {
		subnet := fmt.Sprintf("127.%d.%d.", 10+rand.IntN(200), 1+rand.IntN(250))
		free := true
		for _, address := range []string{"1:8740", "1:8746", "1:8748", "1:8749", "1:7200", "1:7215", "240:8742"} {
			listener, err := net.Listen("tcp", subnet+address)
			if err != nil {
				free = false
				break
			}
			_ = listener.Close()
		}
		if free {
			return subnet
		}
	}
	r.NotRun("no free ports")
	return ""
}

// Host returns the loopback address with a last byte.
func (r *Run) Host(last int) string { return r.subnet + strconv.Itoa(last) }

// Logf writes a line of the record.
func (r *Run) Logf(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%9.3f  ", time.Since(r.began).Seconds()) + fmt.Sprintf(format, values...) + "\n"
	if r.record != nil {
		_, _ = r.record.WriteString(line)
	}
}

// end ends all processes and then this program.
func (r *Run) end(code int) {
	for _, node := range r.Nodes {
		node.Kill()
	}
	_ = os.RemoveAll(r.dir)
	os.Exit(code)
}

// NotRun ends the run as one that could not be made.
func (r *Run) NotRun(format string, values ...any) {
	r.Logf("NOT RUN: "+format, values...)
	fmt.Printf("not run: "+format+"\n", values...)
	r.end(ExitNotRun)
}

// Verdict ends the run.
func (r *Run) Verdict(broken bool, format string, values ...any) {
	text, code := "HELD: ", ExitHeld
	if broken {
		text, code = "BROKEN: ", ExitBroken
	}
	r.Logf(text+format, values...)
	fmt.Printf(text+format+"\n", values...)
	r.end(code)
}

// Settings are those in which the cases differ.
type Settings struct {
	MemoryMB int
}

// Node is one machine with a process of the system.
type Node struct {
	Name  string
	Seeds []string

	run      *Run
	number   int
	settings Settings

	mu        sync.Mutex
	command   *exec.Cmd
	done      chan struct{}
	expected  bool
	startedAt time.Time
	exits     int
}

// AddNodes adds machines and starts their processes.
func (r *Run) AddNodes(count int, settings Settings) {
	var seeds []string
	for i := 1; i <= min(count, 3); i++ {
		seeds = append(seeds, r.Host(i)+":8748")
	}
	for i := 1; i <= count; i++ {
		node := &Node{Name: fmt.Sprintf("front-z-%d", i), run: r, number: i, settings: settings, Seeds: seeds}
		r.Nodes = append(r.Nodes, node)
		node.Start(true)
	}
	for _, node := range r.Nodes {
		if !node.AwaitReady(10 * time.Second) {
			r.NotRun("%s is not ready", node.Name)
		}
	}
	time.Sleep(500 * time.Millisecond)
}

// Address is where clients connect.
func (n *Node) Address() string { return n.run.Host(n.number) + ":8740" }

// Directory is where clients ask for addresses.
func (n *Node) Directory() string { return n.run.Host(n.number) + ":8746" }

// Disturb notes that the machine is disturbed now, so that it is not in touch.
func (n *Node) Disturb() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.startedAt = time.Now()
}

// writeSettings writes the settings file, with the fields of the users' pages.
func (n *Node) writeSettings(first bool) string {
	host := n.run.Host(n.number)
	path := filepath.Join(n.run.dir, n.Name+".conf")
	text := fmt.Sprintf(`NodeName=%s
Role=entry
MachineClass=front
Serves=front,directory,control
IpAddress=%[2]s
Zone=z
Region=r
Zones.z=r
Listen.Front=%[2]s:8740
Listen.Ready=%[2]s:8749
Listen.Control=%[2]s:8748
Listen.Directory=%[2]s:8746
InternalPorts=7200,7215
SeedAddrs=%[3]s
Bootstrap=%[4]v
CountsAsLoss=false
Limits.CpuShare=0.4
Limits.CpuCores=1
Limits.MemoryMb=%[5]d
Limits.MaxFds=4100
Limits.LinkMbps=1000.0
Limits.DiskMb=0
DiscoverySource=platform
EntryMode=directory
HeartbeatMs=1200
Contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,platform
FaultTolerance.Machines=1
FaultTolerance.Zones=0
FaultTolerance.Regions=0
Bounds.SeedLagS=3
Bounds.ReuseAfterS=2
Bounds.StableWindowMs=3000
Bounds.AckTimeoutMs=4000
Bounds.CatchUpS=4
Bounds.DrainTimeoutMs=2000
Bounds.GraceS=8
Bounds.LossSlackMs=200
Bounds.ConfigApplyMs=2000
Bounds.RollbackSlackMs=250
Bounds.OuterMs=5000
Bounds.FailClosed=false
Bounds.RevokeMs=5000
Bounds.RetryBudgetRatio=0.2
Bounds.BudgetWindowS=10
Bounds.BudgetSlack=56
Bounds.RecoveryS=12
Bounds.PassMs=120
Bounds.ReuseWindowS=9.9
Bounds.ttl_max_s=5
Platform.Address=%[6]s
Platform.form=read
Platform.WritesPerS=400
Platform.ReadsPerS=2000
Platform.HistoryS=20
Platform.ValueBytes=1048576
Platform.TtlMinMs=1000
`, n.Name, host, strings.Join(n.Seeds, ","), first, n.settings.MemoryMB, n.run.Store.address)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		n.run.NotRun("settings: %v", err)
	}
	return path
}

// Start starts the process with the command and the environment of the deploy file.
func (n *Node) Start(first bool) {
	path := n.writeSettings(first)
	command := exec.Command(filepath.Join(n.run.root, "target", "umbercrank"), "join")
	command.Dir = n.run.root
	command.Env = []string{"UMBERCRANK_CONFIG=" + path, "UMBERCRANK_PEER_SECRET=umbercrank-on-platform", "HOME=" + n.run.dir, "PATH=" + os.Getenv("PATH")}
	var output *os.File
	if folder := os.Getenv("REVIEW_LOGS"); folder != "" {
		output, _ = os.OpenFile(filepath.Join(folder, n.Name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	}
	if output != nil {
		command.Stdout, command.Stderr = output, output
	}
	// The process ends with this program.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := startOnThread(command); err != nil {
		n.run.NotRun("cannot start %s: %v", n.Name, err)
	}
	done := make(chan struct{})
	n.mu.Lock()
	n.command, n.done, n.expected, n.startedAt = command, done, false, time.Now()
	n.mu.Unlock()
	n.run.Logf("%s: process %d starts", n.Name, command.Process.Pid)
	go func() {
		err := command.Wait()
		if output != nil {
			_ = output.Close()
		}
		n.mu.Lock()
		if !n.expected {
			n.exits++
			n.run.Logf("%s: process %d ended by itself: %v", n.Name, command.Process.Pid, err)
		} else {
			n.run.Logf("%s: process %d ended: %v", n.Name, command.Process.Pid, err)
		}
		n.mu.Unlock()
		close(done)
	}()
}

// starts has the commands to start. One thread starts them all and never ends, since a process with
// Pdeathsig ends with the thread that started it.
var starts = sync.OnceValue(func() chan func() {
	calls := make(chan func())
	go func() {
		runtime.LockOSThread()
		for call := range calls {
			call()
		}
	}()
	return calls
})

func startOnThread(command *exec.Cmd) error {
	started := make(chan error)
	starts() <- func() { started <- command.Start() }
	return <-started
}

// StartedAt returns when the process was started last.
func (n *Node) StartedAt() time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.startedAt
}

// InTouch reports whether the process has run for longer than StableWindowMs.
func (n *Node) InTouch(at time.Time) bool { return at.Sub(n.StartedAt()) > 3*time.Second }

// Exits returns how often the process ended by itself.
func (n *Node) Exits() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.exits
}

// Signal sends a signal; ends says that the process is expected to end.
func (n *Node) Signal(sig syscall.Signal, ends bool) {
	n.mu.Lock()
	n.expected = n.expected || ends
	process := n.command.Process
	n.mu.Unlock()
	n.run.Logf("%s: %v", n.Name, sig)
	_ = process.Signal(sig)
}

// Kill kills the process and waits for its end.
func (n *Node) Kill() {
	n.mu.Lock()
	done := n.done
	n.mu.Unlock()
	if done == nil {
		return
	}
	select {
	case <-done:
		return
	default:
	}
	n.Signal(syscall.SIGKILL, true)
	<-done
}

// Done returns a channel that is closed when the process has ended.
func (n *Node) Done() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.done
}

// AwaitReady waits until the readiness answer is 200.
func (n *Node) AwaitReady(limit time.Duration) bool {
	deadline := time.Now().Add(limit)
	for time.Now().Before(deadline) {
		if status := Get(n.run.Host(n.number)+":8749", "/readiness"); status == 200 {
			return true
		}
		time.Sleep(20 * time.Millisecond)
	}
	return false
}

// Memory returns the memory of the process that no file backs, in bytes.
func (n *Node) Memory() int64 {
	n.mu.Lock()
	pid := n.command.Process.Pid
	n.mu.Unlock()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, _ := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
			return kb << 10
		}
	}
	return 0
}
