package edge

import (
	"time"

	"github.com/umbercrank/umbercrank/pkg/gateway"
)

const (
	// acceptShare is the fraction of the grace period in which a stopping instance still
	// accepts requests from callers that have not refreshed their list of addresses.
	acceptShare = 3.0 / 8
	// maxAcceptTime bounds that time. Callers refresh their list earlier.
	maxAcceptTime = 3 * time.Second
	// maxSignalDelay is how late an instance may notice the signal although it takes itself to be on time.
	maxSignalDelay = 500 * time.Millisecond
	// endShare is the fraction of the grace period after which the instance ends requests that
	// are still running. A late instance ends them sooner, but not before minEndShare: until then an
	// upstream's work is waited for.
	endShare, minEndShare = 15.0 / 16, 5.0 / 6
	// exitShare is the fraction after which it no longer waits for the responses of these requests, and
	// minAnswerTime how long it waits for them at least.
	exitShare     = 31.0 / 32
	minAnswerTime = 100 * time.Millisecond
	// answerDelays is how often the response of a request that is ended waits for the instance: the stop notices
	// the time, the attempt ends, the handler goes on, and the bytes are written.
	answerDelays = 4
	// drainPollInterval is the time between two checks of the running requests.
	drainPollInterval = 20 * time.Millisecond
)

// stopTimes determines when the phases of a planned stop end. An instance that is late by some time has probably noticed
// the signal that much after it was sent.
type stopTimes struct {
	grace time.Duration
	// noticed is when the signal was noticed, and signalled the earliest time at which it was sent.
	noticed, signalled time.Duration
}

// after returns the time at which a fraction of the grace period has passed since the given time.
func (s stopTimes) after(since time.Duration, share float64) time.Duration {
	return since + time.Duration(share*float64(s.grace))
}

// accepting returns until when an instance that is late by the given time accepts requests.
func (s stopTimes) accepting(late time.Duration) time.Duration {
	return min(s.after(s.noticed, acceptShare), s.noticed+maxAcceptTime-maxSignalDelay,
		s.after(s.signalled, acceptShare)-late, s.signalled+maxAcceptTime-late)
}

// ending returns when it ends the requests in flight.
func (s stopTimes) ending(late time.Duration) time.Duration {
	return max(min(s.after(s.signalled, endShare), s.signalled+s.grace-answerDelays*late), s.after(s.noticed, minEndShare))
}

// drain stops the instance gracefully: it removes the instance from the directory
// and notifies its peers, still accepts requests for a while, and then waits for the running ones, also those of peers,
// for those that are being received and for responses that are being written. It ends what is left in time for its
// callers to get a response before the process is killed. It returns until when they may be waited for.
func (e *Edge) drain(callers *gateway.Listener) (exit time.Duration) {
	late, noticed := e.meter.Late(), e.now()
	e.stopping.Store(true)
	e.mesh.ReportChange()
	times := stopTimes{grace: e.settings.GracePeriod, noticed: noticed, signalled: noticed - late}
	e.gateway.EndAt(times.ending(late))
	e.logger.Info().Int64("active", e.gateway.Active()).Dur("grace_ms", times.grace).Dur("late_ms", late).Msg("stopping")
	for e.now() < times.accepting(e.meter.Late()) {
		time.Sleep(drainPollInterval)
		e.gateway.EndAt(times.ending(e.meter.Late()))
	}
	e.gateway.Stop()
	e.logStop("accepts no more requests", noticed)
	e.awaitQuiet(callers, times)
	e.logStop("stopped serving", noticed)
	e.gateway.End()
	exit = max(times.after(times.signalled, exitShare), e.now()+minAnswerTime)
	for e.busy(callers) && e.now() < exit {
		time.Sleep(drainPollInterval)
	}
	return exit
}

// awaitQuiet waits until the instance has not been busy for as long as it is late, so that it has read what has arrived, or
// until it ends the requests in flight.
func (e *Edge) awaitQuiet(callers *gateway.Listener, times stopTimes) {
	quietSince := e.now()
	for now := quietSince; now < times.ending(e.meter.Late()); now = e.now() {
		switch {
		case e.busy(callers):
			quietSince = now
		case now-quietSince >= e.meter.Late():
			return
		}
		time.Sleep(drainPollInterval)
	}
}

// busy reports whether requests are in flight, of callers or of peers, or are being received.
func (e *Edge) busy(callers *gateway.Listener) bool {
	return e.gateway.Active() > 0 || e.gateway.Carried() > 0 || callers.Busy() > 0
}

// logStop logs a phase of the stop.
func (e *Edge) logStop(phase string, noticed time.Duration) {
	e.logger.Info().Int64("active", e.gateway.Active()).Dur("late_ms", e.meter.Late()).Dur("after_ms", e.now()-noticed).Msg(phase)
}
