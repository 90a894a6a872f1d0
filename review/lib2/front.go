//go:build review

package lib2

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// Front is one machine of the system: the real program with a settings file.
type Front struct {
	Name, Host, Zone string
	// StoreAddress is where the machine reaches the store.
	StoreAddress string
	// StartedAt is when the process was started last.
	StartedAt time.Duration
	fleet     *Fleet
	command   *exec.Cmd
	done      chan struct{}
	log       *os.File
	first     bool
}

// Fleet is the machines of the system.
type Fleet struct {
	Fronts []*Front
	dir    string
	record *Record
	binary string
	// Contracts are those of the settings.
	Contracts string
	// Further are more lines of the settings.
	Further string
}

// The ports of the machines, as in the settings of DEPLOY.md.
const (
	frontPort, readyPort, controlPort, directoryPort = "8740", "8749", "8748", "8746"
)

// NewFleet returns machines at the hosts, in the zones in turn. They are not started.
func NewFleet(hosts, zones []string, storeAddress, dir string, record *Record) (*Fleet, error) {
	root, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	f := &Fleet{dir: dir, record: record, binary: filepath.Join(root, "target", "umbercrank"), Contracts: "base,drain,config,cost,retry,recover,engine,stream,tenants,platform"}
	if _, err := os.Stat(f.binary); err != nil {
		return nil, fmt.Errorf("the build of the deploy file is missing: %w", err)
	}
	for i, host := range hosts {
		f.Fronts = append(f.Fronts, &Front{Name: fmt.Sprintf("front-%d", i+1), Host: host, Zone: zones[i%len(zones)], StoreAddress: storeAddress, fleet: f, first: true})
	}
	return f, nil
}

// Address returns the address for clients.
func (f *Front) Address() string { return net.JoinHostPort(f.Host, frontPort) }

// Directory returns the address of the directory.
func (f *Front) Directory() string { return net.JoinHostPort(f.Host, directoryPort) }

// Start writes the settings and starts the program.
func (f *Front) Start() error {
	var seeds []string
	for _, other := range f.fleet.Fronts[:min(3, len(f.fleet.Fronts))] {
		seeds = append(seeds, net.JoinHostPort(other.Host, controlPort))
	}
	settings := fmt.Sprintf(`NodeName=%s
Role=entry
MachineClass=front
Serves=front,directory,control
IpAddress=%[2]s
Zone=%[3]s
Region=tunis
Zones.lac=tunis
Zones.charguia=tunis
Zones.ariana=tunis
Zones.ben-arous=tunis
Listen.Front=%[2]s:8740
Listen.Ready=%[2]s:8749
Listen.Control=%[2]s:8748
Listen.Directory=%[2]s:8746
InternalPorts=7200,7215
SeedAddrs=%[4]s
Bootstrap=%[5]v
CountsAsLoss=false
Limits.CpuShare=0.4
Limits.CpuCores=1
Limits.MemoryMb=284
Limits.MaxFds=4100
Limits.LinkMbps=1000.0
Limits.DiskMb=0
DiscoverySource=platform
EntryMode=directory
HeartbeatMs=1200
Contracts=%[6]s
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
Platform.Address=%[7]s
Platform.form=read
Platform.WritesPerS=400
Platform.ReadsPerS=2000
Platform.HistoryS=20
Platform.ValueBytes=1048576
Platform.TtlMinMs=1000
%[8]s`, f.Name, f.Host, f.Zone, strings.Join(seeds, ","), f.first, f.fleet.Contracts, f.StoreAddress, f.fleet.Further)
	f.first = false
	path := filepath.Join(f.fleet.dir, f.Name+".conf")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(f.fleet.dir, f.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	f.log = log
	f.command = exec.Command(f.fleet.binary, "join")
	f.command.Env = []string{"UMBERCRANK_CONFIG=" + path, "UMBERCRANK_PEER_SECRET=umbercrank-on-platform", "HOME=" + f.fleet.dir, "PATH=" + os.Getenv("PATH")}
	f.command.Stdout, f.command.Stderr = log, log
	if err := f.command.Start(); err != nil {
		return err
	}
	f.done, f.StartedAt = make(chan struct{}), f.fleet.record.Now()
	f.fleet.record.Add("%s started at %s, process %d", f.Name, f.Host, f.command.Process.Pid)
	go func(command *exec.Cmd, done chan struct{}) {
		err := command.Wait()
		f.fleet.record.Add("%s ended: %v", f.Name, err)
		close(done)
	}(f.command, f.done)
	return nil
}

// Signal sends a signal to the process.
func (f *Front) Signal(s syscall.Signal) {
	f.fleet.record.Add("%s gets %v", f.Name, s)
	_ = f.command.Process.Signal(s)
}

// Pid returns the ID of the process.
func (f *Front) Pid() int { return f.command.Process.Pid }

// Ended reports whether the process has ended.
func (f *Front) Ended() bool {
	select {
	case <-f.done:
		return true
	default:
		return false
	}
}

// Done is closed when the process has ended.
func (f *Front) Done() <-chan struct{} { return f.done }

// Stop ends all processes.
func (f *Fleet) Stop() {
	for _, front := range f.Fronts {
		if front.command == nil || front.command.Process == nil {
			continue
		}
		_ = front.command.Process.Signal(syscall.SIGCONT)
		_ = front.command.Process.Kill()
		<-front.done
		_ = front.log.Close()
	}
}

// AwaitReady waits until all machines are ready.
func (f *Fleet) AwaitReady(limit time.Duration) error {
	deadline := time.Now().Add(limit)
	for _, front := range f.Fronts {
		for !isReady(net.JoinHostPort(front.Host, readyPort)) {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", front.Name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}
