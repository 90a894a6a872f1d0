package engine

import (
	"context"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/umbercrank/umbercrank/pkg/standin/engine/model"
	"github.com/umbercrank/umbercrank/pkg/standin/network"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// Engine runs a simulated engine in real time. It is safe for concurrent use.
type Engine struct {
	settings  Settings
	started   time.Time
	wake      chan struct{}
	crashed   chan struct{}
	crashOnce sync.Once

	mu      sync.Mutex
	model   *model.Engine
	faults  Faults
	loads   loadHistory
	streams map[types.RequestID]*sequenceStream
	nextID  uint64
}

// sequenceStream reports the progress of one sequence to its HTTP handler.
type sequenceStream struct {
	id     types.RequestID
	poison bool
	// notify has capacity 1 and signals that tokens or done changed.
	notify chan struct{}
	tokens int
	done   bool
}

// New returns an engine. Run or Serve starts it.
func New(settings Settings) *Engine {
	e := &Engine{
		settings: settings,
		started:  time.Now(),
		wake:     make(chan struct{}, 1),
		crashed:  make(chan struct{}),
		model:    model.New(settings.Model),
		faults:   settings.Faults,
		streams:  make(map[types.RequestID]*sequenceStream),
	}
	e.model.SetStraggle(settings.Faults.Straggle)
	return e
}

// Serve runs the engine and serves HTTP on the listener until ctx is done. If the
// engine crashes, Serve returns an error with code UpstreamFailed.
func (e *Engine) Serve(ctx context.Context, listener net.Listener) error {
	running, stop := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { e.Run(running) })
	err := network.Serve(ctx, listener, e.Handler(), e.crashed)
	stop()
	group.Wait()
	return err
}

// Run executes the steps of the model until ctx is done or the engine crashes.
func (e *Engine) Run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		if wait, busy := e.runDueSteps(); busy {
			timer.Reset(wait)
		}
		select {
		case <-timer.C:
		case <-e.wake:
		case <-e.crashed:
			return
		case <-ctx.Done():
			return
		}
	}
}

// Crash simulates a crash of the engine's process.
func (e *Engine) Crash() {
	e.crashOnce.Do(func() {
		counters.Add("crashes", 1)
		close(e.crashed)
	})
}

// Crashed returns a channel that is closed when the engine crashes.
func (e *Engine) Crashed() <-chan struct{} { return e.crashed }

// runDueSteps ends the steps that are due. It returns the time until the current
// step ends and whether the engine is busy.
func (e *Engine) runDueSteps() (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for {
		now := e.now()
		end, busy := e.model.StepEnd()
		if !busy || end > now {
			return end - now, busy
		}
		e.deliver(e.model.Step(now))
		e.recordLoadLocked(now)
	}
}

// deliver adds the tokens of a step to their streams. A sequence with the poison
// marker crashes the engine instead.
func (e *Engine) deliver(events []model.Event) {
	counters.Add("steps", 1)
	for _, event := range events {
		counters.Add("generated_tokens", int64(event.Tokens))
		s := e.streams[event.ID]
		if s == nil {
			continue
		}
		if s.poison {
			e.Crash()
			return
		}
		s.tokens += event.Tokens
		s.done = event.Done
		s.signal()
	}
}

// signal wakes the handler without blocking.
func (s *sequenceStream) signal() {
	select {
	case s.notify <- struct{}{}:
	default:
	}
}

// submit queues a sequence. It returns false if the queue is full.
func (e *Engine) submit(request model.Request, poison bool) (*sequenceStream, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.model.Load().Waiting >= e.settings.MaxWaiting {
		return nil, false
	}
	e.nextID++
	request.ID = types.RequestID(strconv.FormatUint(e.nextID, 10))
	s := &sequenceStream{id: request.ID, poison: poison, notify: make(chan struct{}, 1)}
	e.streams[s.id] = s
	now := e.now()
	e.model.Submit(now, request)
	e.recordLoadLocked(now)
	select {
	case e.wake <- struct{}{}:
	default:
	}
	return s, true
}

// progress returns the number of tokens generated so far and whether the sequence
// is complete.
func (e *Engine) progress(s *sequenceStream) (int, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return s.tokens, s.done
}

// removeStream removes a stream and cancels its sequence if it is not complete.
func (e *Engine) removeStream(s *sequenceStream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.streams, s.id)
	now := e.now()
	if e.model.Cancel(now, s.id) {
		counters.Add("cancelled", 1)
	}
	e.recordLoadLocked(now)
}

// now returns the time since the engine was created.
func (e *Engine) now() time.Duration { return time.Since(e.started) }
