package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
)

// runMainVariable makes the test binary run main.
const runMainVariable = "UMBERCRANK_TEST_RUN_MAIN"

func TestMain(m *testing.M) {
	if os.Getenv(runMainVariable) != "" {
		main()
	}
	os.Exit(m.Run())
}

// freePorts returns ports of the loopback interface that were free.
func freePorts(t *testing.T, n int) []int {
	t.Helper()
	var ports []int
	for range n {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer listener.Close()
		ports = append(ports, listener.Addr().(*net.TCPAddr).Port)
	}
	return ports
}

// writeSettings writes a settings file whose addresses are free, and returns its path and the
// URL at which the process answers once it is ready.
func writeSettings(t *testing.T) (path, ready string) {
	t.Helper()
	ports := freePorts(t, 6)
	path = filepath.Join(t.TempDir(), "settings")
	text := fmt.Sprintf(`NodeName=n
Zone=z
IpAddress=127.0.0.1
Listen.Front=127.0.0.1:%d
Listen.Ready=127.0.0.1:%d
Listen.Directory=127.0.0.1:%d
InternalPorts=%d,%d
Platform.Address=127.0.0.1:%d
Limits.MemoryMb=284
Limits.CpuShare=1
Bounds.GraceS=1
Bounds.RetryBudgetRatio=0.2
Bounds.BudgetSlack=56
Bounds.BudgetWindowS=10
`, ports[0], ports[1], ports[2], ports[3], ports[4], ports[5])
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path, fmt.Sprintf("http://127.0.0.1:%d/readiness", ports[1])
}

// TestLostLogReaderDoesNotEndTheProcess closes the read end of the standard output, then
// stops the process gracefully, which writes all waiting lines.
func TestLostLogReaderDoesNotEndTheProcess(t *testing.T) {
	settings, ready := writeSettings(t)
	reader, writer, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := reader.Close(); err != nil {
		t.Fatal(err)
	}
	var stderr strings.Builder
	command := exec.CommandContext(t.Context(), os.Args[0], "join")
	command.Env = append(os.Environ(), runMainVariable+"=1", "UMBERCRANK_CONFIG="+settings, "UMBERCRANK_PEER_SECRET=x")
	command.Stdout, command.Stderr = writer, &stderr
	if err := command.Start(); err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() { ended <- command.Wait() }()
	for serving := false; !serving; {
		select {
		case err := <-ended:
			t.Fatalf("the process ended: %v\n%s", err, stderr.String())
		default:
		}
		if response, err := http.Get(ready); err == nil {
			response.Body.Close()
			serving = true
		}
	}
	if err := command.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := <-ended; err != nil {
		t.Errorf("the process ended: %v\n%s", err, stderr.String())
	}
}

// TestStartWaitsForAddresses guards against a process that ends at its start because the one before it, which is
// still stopping, holds one of its addresses.
func TestStartWaitsForAddresses(t *testing.T) {
	for _, field := range []string{"Listen.Front", "Listen.Ready", "Listen.Directory", "InternalPorts", "metrics"} {
		t.Run(field, func(t *testing.T) {
			settings, ready := writeSettings(t)
			text, err := os.ReadFile(settings)
			if err != nil {
				t.Fatal(err)
			}
			before, err := net.Listen("tcp", heldAddress(t, string(text), field))
			if err != nil {
				t.Fatal(err)
			}
			command := exec.CommandContext(t.Context(), os.Args[0], "join")
			command.Env = append(os.Environ(), runMainVariable+"=1", "UMBERCRANK_CONFIG="+settings, "UMBERCRANK_PEER_SECRET=x")
			output, err := command.StdoutPipe()
			if err != nil {
				t.Fatal(err)
			}
			if err := command.Start(); err != nil {
				t.Fatal(err)
			}
			lines := bufio.NewScanner(output)
			for lines.Scan() && !strings.Contains(lines.Text(), "address is in use") {
			}
			_ = before.Close()
			for lines.Scan() && !strings.Contains(lines.Text(), `"message":"started"`) {
			}
			if response, err := http.Get(ready); err != nil {
				t.Errorf("the instance does not serve: %v", err)
			} else {
				response.Body.Close()
			}
			_ = command.Process.Signal(syscall.SIGTERM)
			for lines.Scan() {
			}
			if err := command.Wait(); err != nil {
				t.Errorf("the process ended: %v", err)
			}
		})
	}
}

// heldAddress returns the address of a field of the settings.
func heldAddress(t *testing.T, settings, field string) string {
	t.Helper()
	name := strings.Replace(field, "metrics", "InternalPorts", 1)
	_, value, ok := strings.Cut(settings, name+"=")
	if !ok {
		t.Fatal("no field " + name)
	}
	value, _, _ = strings.Cut(value, "\n")
	first, last, both := strings.Cut(value, ",")
	switch {
	case !both:
		return value
	case field == "metrics":
		return "127.0.0.1:" + last
	}
	return "127.0.0.1:" + first
}
