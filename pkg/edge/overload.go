package edge

import (
	"context"
	"expvar"

	"github.com/umbercrank/umbercrank/pkg/overload"
)

// measureDelay measures how late this instance is until ctx is done.
func (e *Edge) measureDelay(ctx context.Context, signal overload.Signal) {
	e.limiter.Follow(ctx, e.meter, signal, func(accepted float64) {
		e.logger.Warn().Bool("refuses", accepted < 1).Float64("accepted", accepted).Dur("late_ms", e.meter.Late()).Int64("active", e.gateway.Active()).
			Msg("instance overload changed")
	})
}

// publishOverload registers the metrics of the overload with expvar.
func (e *Edge) publishOverload() {
	expvar.Publish("overload", expvar.Func(func() any {
		return struct {
			LateMilliseconds   int64   `json:"late_ms"`
			WaitedMilliseconds int64   `json:"waited_ms"`
			Accepted           float64 `json:"accepted"`
		}{e.meter.Late().Milliseconds(), e.meter.Waited().Milliseconds(), e.limiter.Fraction()}
	}))
}
