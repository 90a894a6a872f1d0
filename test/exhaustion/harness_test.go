// Package exhaustion runs the real program as processes on loopback and lets a crowd of clients send
// what takes the most memory, connections or descriptors. It checks that the processes live, that
// they stay within the limits of their settings, and that an ordinary request is answered beside
// the crowd. Nothing in it depends on the speed of the machine.
package exhaustion

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// The limits of each process, and the crowds that they allow.
const (
	memoryMB       = 112
	maxDescriptors = 1000
	// crowdSize leaves descriptors for the connections of the system, idleCrowdSize does not.
	crowdSize      = 600
	idleCrowdSize  = maxDescriptors
	maxHeaderBytes = 16 << 10
	maxBodyBytes   = 1 << 20
	// patience is how long something is waited for that must happen at some time.
	patience = time.Minute
	// sampleInterval is the time between two measurements of a process.
	sampleInterval = 20 * time.Millisecond
)

// instance is a process of the system.
type instance struct {
	name, host string
	// addresses are those that clients reach, by the name of the port.
	addresses map[string]string
	command   *exec.Cmd
	output    bytes.Buffer
	done      chan struct{}

	mu sync.Mutex
	// peakMemory is the largest sum of the resident and the unread bytes.
	peakMemory, peakUnread, peakDescriptors int64
}

var (
	buildOnce  sync.Once
	binaryPath string
	buildError error
)

func TestMain(m *testing.M) {
	directory, err := os.MkdirTemp("", "exhaustion")
	if err != nil {
		panic(err)
	}
	binaryPath = filepath.Join(directory, "umbercrank")
	code := m.Run()
	_ = os.RemoveAll(directory)
	os.Exit(code)
}

// binary builds the program once and returns its path.
func binary(t *testing.T) string {
	t.Helper()
	buildOnce.Do(func() {
		command := exec.Command("go", "build", "-o", binaryPath, "github.com/umbercrank/umbercrank/cmd/umbercrank")
		if output, err := command.CombinedOutput(); err != nil {
			buildError = fmt.Errorf("cannot build the program: %w\n%s", err, output)
		}
	})
	if buildError != nil {
		t.Fatal(buildError)
	}
	return binaryPath
}

// hosts returns a function that returns loopback addresses of which no other run uses any.
func hosts() func(number int) string {
	subnet := 10 + os.Getpid()%200
	return func(number int) string { return fmt.Sprintf("127.%d.9.%d", subnet, number) }
}

// startInstance starts the program on its own host with the descriptors that the limits allow.
func startInstance(t *testing.T, name, host string, addresses map[string]string, environment []string, arguments ...string) *instance {
	t.Helper()
	i := &instance{name: name, host: host, addresses: addresses, done: make(chan struct{})}
	i.command = exec.Command(binary(t), arguments...)
	i.command.Env = append([]string{"HOME=" + t.TempDir(), "PATH=" + os.Getenv("PATH")}, environment...)
	i.command.Stdout, i.command.Stderr = &i.output, &i.output
	if err := i.command.Start(); err != nil {
		t.Fatal(err)
	}
	pid := i.command.Process.Pid
	if err := unix.Prlimit(pid, unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: maxDescriptors, Max: maxDescriptors}, nil); err != nil {
		t.Fatal(err)
	}
	go func() {
		_ = i.command.Wait()
		close(i.done)
	}()
	stopSampling := make(chan struct{})
	var sampling sync.WaitGroup
	sampling.Go(func() {
		for {
			select {
			case <-stopSampling:
				return
			case <-time.After(sampleInterval):
				i.sample(pid)
			}
		}
	})
	t.Cleanup(func() {
		close(stopSampling)
		sampling.Wait()
		_ = i.command.Process.Signal(syscall.SIGKILL)
		<-i.done
		if t.Failed() {
			text := i.output.String()
			t.Logf("%s: %s", i.name, text[max(len(text)-2000, 0):])
		}
	})
	return i
}

// sample measures the process.
func (i *instance) sample(pid int) {
	descriptors, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		return
	}
	resident, unread := residentBytes(pid), unreadBytes(i.host)
	i.mu.Lock()
	defer i.mu.Unlock()
	i.peakDescriptors = max(i.peakDescriptors, int64(len(descriptors)))
	i.peakMemory, i.peakUnread = max(i.peakMemory, resident+unread), max(i.peakUnread, unread)
}

// residentBytes returns the resident memory of a process.
func residentBytes(pid int) int64 {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(status)) {
		if value, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kilobytes, _ := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(value), " kB"), 10, 64)
			return kilobytes << 10
		}
	}
	return 0
}

// unreadBytes returns the number of bytes that the kernel has received on the connections to a host and
// that the process has not read.
func unreadBytes(host string) int64 {
	local := hexIP(net.ParseIP(host)) + ":"
	total := int64(0)
	for _, fields := range sockets() {
		const listening = "0A"
		if !strings.HasPrefix(fields[1], local) || fields[3] == listening {
			continue
		}
		_, queue, _ := strings.Cut(fields[4], ":")
		bytes, _ := strconv.ParseInt(queue, 16, 64)
		total += bytes
	}
	return total
}

// hexIP returns an address of IPv4 as the kernel lists it.
func hexIP(address net.IP) string {
	ip := address.To4()
	return fmt.Sprintf("%02X%02X%02X%02X", ip[3], ip[2], ip[1], ip[0])
}

// sockets returns the fields of the TCP sockets: number, local address, remote address, state,
// queues, …, inode.
func sockets() [][]string {
	file, err := os.Open("/proc/net/tcp")
	if err != nil {
		return nil
	}
	defer file.Close()
	var list [][]string
	for lines := bufio.NewScanner(file); lines.Scan(); {
		if fields := strings.Fields(lines.Text()); len(fields) > 9 && fields[0] != "sl" {
			list = append(list, fields)
		}
	}
	return list
}

// alive reports whether the process has not ended.
func (i *instance) alive() bool {
	select {
	case <-i.done:
		return false
	default:
		return true
	}
}

// checkLimits checks that the process lives and has stayed within its limits.
func (i *instance) checkLimits(t *testing.T) {
	t.Helper()
	i.mu.Lock()
	defer i.mu.Unlock()
	t.Logf("%s: %d kB of memory, %d kB unread, %d descriptors", i.name, i.peakMemory>>10, i.peakUnread>>10, i.peakDescriptors)
	if !i.alive() {
		t.Errorf("%s has ended", i.name)
	}
	if i.peakMemory > memoryMB<<20 {
		t.Errorf("%s took %d kB of memory, unread bytes included; %d kB are allowed", i.name, i.peakMemory>>10, memoryMB<<10)
	}
	if i.peakDescriptors >= maxDescriptors {
		t.Errorf("%s used all of its %d descriptors", i.name, maxDescriptors)
	}
}

// await waits until a condition holds, and reports whether it does.
func await(condition func() bool) bool {
	for deadline := time.Now().Add(patience); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return false
}
