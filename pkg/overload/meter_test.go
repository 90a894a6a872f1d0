package overload

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/umbercrank/umbercrank/pkg/clock"
)

// TestMeterMeasuresDelay delays the process by a clock that jumps.
func TestMeterMeasuresDelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		running := clock.Process()
		var skipped atomic.Int64
		m := NewMeter(func() time.Duration { return running() + time.Duration(skipped.Load()) })
		if m.Late() != 0 {
			t.Errorf("late by %v before the start", m.Late())
		}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go m.Run(ctx, nil, nil)
		check := func(after, least, most time.Duration) {
			t.Helper()
			time.Sleep(after)
			synctest.Wait()
			if late := m.Late(); late < least || late > most {
				t.Errorf("late by %v at %v, want %v to %v", late, running(), least, most)
			}
		}
		check(time.Second, 0, 0)
		skipped.Add(int64(300 * time.Millisecond))
		// The measurement that is due has not been made.
		check(0, 300*time.Millisecond-meterInterval, 300*time.Millisecond)
		check(meterInterval, 300*time.Millisecond, 300*time.Millisecond)
		check(delayTTL-2*meterInterval, 300*time.Millisecond, 300*time.Millisecond)
		check(2*delayTTL, 0, 0)
		skipped.Add(int64(time.Minute))
		check(meterInterval, time.Minute, time.Minute)
		check(2*delayTTL, 0, 0)
	})
}

// TestNoMeter checks that an instance without a meter is not late and accepts all requests.
func TestNoMeter(t *testing.T) {
	if late := (*Meter)(nil).Late(); late != 0 {
		t.Errorf("late by %v", late)
	}
	if _, ok := (*Limiter)(nil).Admit(9, 0.999); !ok {
		t.Error("a request is refused")
	}
}
