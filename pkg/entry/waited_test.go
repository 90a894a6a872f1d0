package entry

import (
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/umbercrank/umbercrank/pkg/clock"
	"github.com/umbercrank/umbercrank/test/fakes"
	"github.com/umbercrank/umbercrank/test/httpfakes"
)

// TestDeadlineCountsFromArrival guards against requests that go on beyond the deadline of their class because
// they waited for the processor before they were read.
func TestDeadlineCountsFromArrival(t *testing.T) {
	const (
		deadline = 800 * time.Millisecond
		// inaccuracy is that of the measure.
		inaccuracy = 60 * time.Millisecond
	)
	for _, late := range []time.Duration{0, 300 * time.Millisecond, 650 * time.Millisecond, 900 * time.Millisecond} {
		for _, streamed := range []bool{false, true} {
			t.Run(fmt.Sprint("late by ", late, ", streamed ", streamed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					meter := fakes.RunLateMeter(t, clock.Process(), late)
					slow := httpfakes.NewUpstream("u1")
					slow.TokenInterval = time.Minute
					f := newFixtureWith(t, func(o *Options) {
						o.Store, o.Meter = newStoreWithDeadline(t, 800), meter
					}, slow)
					began := time.Now()
					extra := ""
					if streamed {
						extra = `,"stream":true`
					}
					w := f.send("POST", chatURL, chatJSON("a", extra))
					if took := time.Since(began); took > max(deadline-late, 0)+inaccuracy || !streamed && w.Code != http.StatusGatewayTimeout {
						t.Errorf("%d %v after the handler began", w.Code, took)
					}
					if late > deadline && len(slow.Executions()) > 0 {
						t.Error("the request ran although its time was over when it was read")
					}
				})
			})
		}
	}
}
