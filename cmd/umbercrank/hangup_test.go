package main

import (
	"bufio"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
)

// startSignalled starts a process and sends it SIGHUP at each package that the runtime
// initialises, from the first one whose name contains the given text. It returns the number
// of signals and a channel with the result of the process.
func startSignalled(t *testing.T, binary, settings, from string) (*exec.Cmd, *atomic.Int64, <-chan error) {
	t.Helper()
	command := exec.CommandContext(t.Context(), binary, "join")
	command.Env = append(os.Environ(), "GODEBUG=inittrace=1", "UMBERCRANK_CONFIG="+settings, "UMBERCRANK_PEER_SECRET=x")
	trace, err := command.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := command.Start(); err != nil {
		t.Fatal(err)
	}
	sent, ended := &atomic.Int64{}, make(chan error, 1)
	go func() {
		for lines := bufio.NewScanner(trace); lines.Scan(); {
			if sent.Load() > 0 || strings.Contains(lines.Text(), from) {
				_ = command.Process.Signal(syscall.SIGHUP)
				sent.Add(1)
			}
		}
		ended <- command.Wait()
	}()
	return command, sent, ended
}

// TestHangupDoesNotEndTheProcessAtItsStart guards against the default action of SIGHUP until
// the program has installed its handler. The order of the packages stands for the time, since
// a busy machine may take any time for the start.
func TestHangupDoesNotEndTheProcessAtItsStart(t *testing.T) {
	// A process starts with the default action only if its parent does not ignore SIGHUP.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	for name, c := range map[string]struct {
		arguments, environment []string
		// from names the package from which the program ignores SIGHUP.
		from string
	}{
		"as on the platform": {arguments: []string{"-ldflags=-linkmode=external"}, environment: []string{"CGO_ENABLED=1"}, from: "init "},
		"without cgo":        {environment: []string{"CGO_ENABLED=0"}, from: "internal/hangup "},
	} {
		t.Run(name, func(t *testing.T) {
			binary := filepath.Join(t.TempDir(), "umbercrank")
			build := exec.Command("go", append(append([]string{"build", "-o", binary}, c.arguments...), ".")...)
			build.Env = append(os.Environ(), c.environment...)
			if output, err := build.CombinedOutput(); err != nil {
				t.Fatalf("cannot build the program: %v\n%s", err, output)
			}
			settings, ready := writeSettings(t)
			process, sent, ended := startSignalled(t, binary, settings, c.from)
			for serving := false; !serving; {
				select {
				case err := <-ended:
					t.Fatalf("the process ended after %d signals: %v", sent.Load(), err)
				default:
				}
				if response, err := http.Get(ready); err == nil {
					response.Body.Close()
					serving = true
				}
			}
			if err := process.Process.Signal(syscall.SIGTERM); err != nil {
				t.Fatal(err)
			}
			if err := <-ended; err != nil {
				t.Errorf("the process ended: %v", err)
			}
			// Besides its own, the program links about 200 packages that are initialised.
			if sent.Load() < 100 {
				t.Errorf("only %d signals were sent", sent.Load())
			}
		})
	}
}
