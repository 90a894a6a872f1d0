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
	// defaultCostFleet is the number of instances unless RELAY_FLEET is set.
	defaultCostFleet = 40
	// costDataCentres is the number of data centres.
	costDataCentres = 20
	// costInterval is the time over which the traffic is counted.
	costInterval = 2 * time.Minute
	// costSpreadLimit is the maximum time until a change is in force everywhere.
	costSpreadLimit = 18 * time.Second
)

// TestFleetTrafficIdleAndOnChange measures, in fake time, the load of a fleet on
// the service and on each instance without changes, and how fast a change spreads.
// It logs the figures that docs/design/configuration.md quotes.
func TestFleetTrafficIdleAndOnChange(t *testing.T) {
	size := defaultCostFleet
	if text := os.Getenv("RELAY_FLEET"); text != "" {
		var err error
		if size, err = strconv.Atoi(text); err != nil {
			t.Fatal(err)
		}
	}
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f := newTestFleet(size, costDataCentres)
		f.publish(t, 1000)
		f.startAll(ctx)
		time.Sleep(time.Minute)
		logIdleCosts(t, f, size)
		logChangeCosts(t, f, size)
	})
}

// logIdleCosts logs the rates of reads and calls without changes.
func logIdleCosts(t *testing.T, f *testFleet, size int) {
	service, peers := f.platform.Calls(), f.network.Counts()
	time.Sleep(costInterval)
	serviceAfter, peersAfter := f.platform.Calls(), f.network.Counts()
	seconds := costInterval.Seconds()
	t.Logf("idle: instances=%d service reads/s=%.2f peer calls/s each=%.2f peer bytes/s each=%.0f", size,
		float64(serviceAfter.Manifest-service.Manifest)/seconds,
		float64(peersAfter.Calls-peers.Calls)/seconds/float64(size),
		float64(peersAfter.Bytes-peers.Bytes)/seconds/float64(size))
}

// logChangeCosts publishes a change, checks that it reaches all instances, and logs
// the time that this takes and the number of notifications.
func logChangeCosts(t *testing.T, f *testFleet, size int) {
	published := time.Now()
	before := f.network.Counts()
	manifest := f.publish(t, config.Milliseconds(5000))
	time.Sleep(costSpreadLimit)
	after := f.network.Counts()
	var took []time.Duration
	for _, event := range f.recorder.Events() {
		if event.Kind == timeline.ConfigApplied && event.Revision == manifest.Revision {
			took = append(took, time.Unix(0, event.Stamp.Wall).Sub(published))
		}
	}
	slices.Sort(took)
	if len(took) != size {
		t.Fatalf("%d of %d instances have the change after %v", len(took), size, costSpreadLimit)
	}
	t.Logf("change: instances=%d median=%v p99=%v last=%v notifications each=%.1f", size,
		took[size/2], took[size*99/100], took[size-1],
		float64(after.Notifications-before.Notifications)/float64(size))
}
