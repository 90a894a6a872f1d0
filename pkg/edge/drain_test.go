package edge

import (
	"bytes"
	"encoding/json"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"github.com/umbercrank/umbercrank/pkg/gateway"
)

// TestStoppingInstanceAcceptsNothingLate guards against a request that arrives late in a planned stop,
// is accepted because the instance noticed the signal late, and is cut at the end of the grace period.
func TestStoppingInstanceAcceptsNothingLate(t *testing.T) {
	for _, grace := range []time.Duration{time.Second, 4 * time.Second, 8 * time.Second, 30 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			e, _ := newTestEdge()
			began := time.Now()
			var log bytes.Buffer
			e.now = func() time.Duration { return time.Since(began) }
			e.logger, e.settings.GracePeriod = zerolog.New(&log), grace
			e.drain(gateway.NewListener(&net.TCPListener{}, e.now))
			latest := min(grace*3/8+drainPollInterval, maxAcceptTime-400*time.Millisecond)
			after, ok := stoppedAccepting(t, &log)
			if !ok || after > latest {
				t.Errorf("a grace period of %v: accepts requests for %v, logged %t, want %v at most", grace, after, ok, latest)
			}
		})
	}
}

// stoppedAccepting returns the time after the beginning of the stop that the log names.
func stoppedAccepting(t *testing.T, log *bytes.Buffer) (after time.Duration, ok bool) {
	t.Helper()
	for decoder := json.NewDecoder(log); decoder.More(); {
		var line struct {
			Message string  `json:"message"`
			After   float64 `json:"after_ms"`
		}
		if err := decoder.Decode(&line); err != nil {
			t.Fatal(err)
		}
		if line.Message == "accepts no more requests" {
			return time.Duration(line.After * float64(time.Millisecond)), true
		}
	}
	return 0, false
}
