package relay

import (
	"context"
	"os"
	"slices"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/umbercrank/umbercrank/pkg/config"
	"github.com/umbercrank/umbercrank/pkg/timeline"
)

const (
	// costsFleet is the number of instances unless RELAY_FLEET says otherwise.
	costsFleet = 40
	// costsCentres is the number of data centres.
	costsCentres = 20
	// costsSpan is the time over which the costs are counted.
	costsSpan = 2 * time.Minute
	// costsBound is how long a change may take to be in force everywhere.
	costsBound = 18 * time.Second
)

// TestCostsOfTheFleet counts, in fake time, what a fleet costs the service and
// each instance while nothing changes, and how a change spreads. It logs the
// figures that docs/design/configuration.md quotes.
func TestCostsOfTheFleet(t *testing.T) {
	size := costsFleet
	if text := os.Getenv("RELAY_FLEET"); text != "" {
		var err error
		if size, err = strconv.Atoi(text); err != nil {
			t.Fatal(err)
		}
	}
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f := newTestFleet(size, costsCentres)
		f.publish(t, 1000)
		f.startAll(ctx)
		time.Sleep(time.Minute)
		logIdle(t, f, size)
		logSpread(t, f, size)
	})
}

// logIdle logs the rates while nothing changes.
func logIdle(t *testing.T, f *testFleet, size int) {
	service, peers := f.platform.Calls(), f.network.Counts()
	time.Sleep(costsSpan)
	serviceAfter, peersAfter := f.platform.Calls(), f.network.Counts()
	seconds := costsSpan.Seconds()
	t.Logf("idle: instances=%d service reads/s=%.2f peer calls/s each=%.2f peer bytes/s each=%.0f", size,
		float64(serviceAfter.Manifest-service.Manifest)/seconds,
		float64(peersAfter.Calls-peers.Calls)/seconds/float64(size),
		float64(peersAfter.Bytes-peers.Bytes)/seconds/float64(size))
}

// logSpread publishes a change and logs how long the instances took to have it
// in force, and the messages that it cost beside those of an idle fleet.
func logSpread(t *testing.T, f *testFleet, size int) {
	published := time.Now()
	before := f.network.Counts()
	manifest := f.publish(t, config.Milliseconds(5000))
	time.Sleep(costsBound)
	after := f.network.Counts()
	var took []time.Duration
	for _, event := range f.log.Events() {
		if event.Kind == timeline.ConfigApplied && event.Revision == manifest.Revision {
			took = append(took, time.Unix(0, event.Stamp.Wall).Sub(published))
		}
	}
	slices.Sort(took)
	if len(took) != size {
		t.Fatalf("%d of %d instances have the change after %v", len(took), size, costsBound)
	}
	t.Logf("change: instances=%d median=%v p99=%v last=%v notifications each=%.1f", size,
		took[size/2], took[size*99/100], took[size-1],
		float64(after.Notifications-before.Notifications)/float64(size))
}
