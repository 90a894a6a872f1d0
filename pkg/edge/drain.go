package edge

import "time"

const (
	// acceptShare is the part of the grace in which a stopping instance still
	// takes requests, from callers that have not asked the directory again.
	acceptShare = 3.0 / 8
	// endShare is the part after which it ends, whatever still runs.
	endShare = 15.0 / 16
	// drainPoll is the time between two looks at what still runs.
	drainPoll = 20 * time.Millisecond
)

// drain serves what came before, and for some time what still comes, then
// returns. Peers and the directory learn at once that callers go elsewhere.
func (e *Edge) drain() {
	e.stopping.Store(true)
	e.mesh.Changed()
	e.logger.Info().Int64("active", e.gateway.Active()).Dur("grace_ms", e.settings.GracePeriod).Msg("stopping")
	begun := e.now()
	accept := time.Duration(acceptShare * float64(e.settings.GracePeriod))
	end := time.Duration(endShare * float64(e.settings.GracePeriod))
	for e.now()-begun < accept {
		time.Sleep(drainPoll)
	}
	e.gateway.Stop()
	for e.gateway.Active() > 0 && e.now()-begun < end {
		time.Sleep(drainPoll)
	}
	e.logger.Info().Int64("active", e.gateway.Active()).Msg("stopped serving")
}
