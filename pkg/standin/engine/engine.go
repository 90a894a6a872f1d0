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

// Engine runs an imitated engine in real time. It is safe for concurrent use.
type Engine struct {
	settings  Settings
	started   time.Time
	wake      chan struct{}
	crashed   chan struct{}
	crashOnce sync.Once

	mu      sync.Mutex
	model   *model.Engine
	faults  Faults
	reports reportLog
	streams map[types.RequestID]*stream
	nextID  uint64
}

// stream carries the tokens of one sequence to its handler.
type stream struct {
	id     types.RequestID
	poison bool
	// notify has room for one; it says that tokens or done changed.
	notify chan struct{}
	tokens int
	done   bool
}

// New returns an engine that does nothing until Run or Serve.
func New(settings Settings) *Engine {
	e := &Engine{
		settings: settings,
		started:  time.Now(),
		wake:     make(chan struct{}, 1),
		crashed:  make(chan struct{}),
		model:    model.New(settings.Model),
		faults:   settings.Faults,
		streams:  make(map[types.RequestID]*stream),
	}
	e.model.SetStraggle(settings.Faults.Straggle)
	return e
}

// Serve answers on the listener and runs the engine until ctx ends or the
// engine crashes, which is a fault of code UpstreamFailed.
func (e *Engine) Serve(ctx context.Context, listener net.Listener) error {
	running, stop := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { e.Run(running) })
	err := network.Serve(ctx, listener, e.Handler(), e.crashed)
	stop()
	group.Wait()
	return err
}

// Run takes the steps of the model until ctx ends or the engine crashes.
func (e *Engine) Run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		if wait, busy := e.step(); busy {
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

// Crash ends the engine as a crash of its process would.
func (e *Engine) Crash() {
	e.crashOnce.Do(func() {
		counters.Add("crashes", 1)
		close(e.crashed)
	})
}

// Crashed returns a channel that is closed when the engine crashes.
func (e *Engine) Crashed() <-chan struct{} { return e.crashed }

// step ends the steps that are due and returns the time to the next end.
func (e *Engine) step() (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for {
		now := e.now()
		end, busy := e.model.StepEnd()
		if !busy || end > now {
			return end - now, busy
		}
		e.deliver(e.model.Step(now))
		e.report(now)
	}
}

// deliver hands the tokens of a step to their streams.
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

// signal wakes the handler; it never blocks.
func (s *stream) signal() {
	select {
	case s.notify <- struct{}{}:
	default:
	}
}

// submit starts a sequence. It reports false when the queue is full.
func (e *Engine) submit(request model.Request, poison bool) (*stream, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.model.Load().Waiting >= e.settings.MaxWaiting {
		return nil, false
	}
	e.nextID++
	request.ID = types.RequestID(strconv.FormatUint(e.nextID, 10))
	s := &stream{id: request.ID, poison: poison, notify: make(chan struct{}, 1)}
	e.streams[s.id] = s
	now := e.now()
	e.model.Submit(now, request)
	e.report(now)
	select {
	case e.wake <- struct{}{}:
	default:
	}
	return s, true
}

// progress returns the tokens so far and whether the sequence is complete.
func (e *Engine) progress(s *stream) (int, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return s.tokens, s.done
}

// release forgets a stream, and cancels its sequence unless it is complete.
func (e *Engine) release(s *stream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.streams, s.id)
	now := e.now()
	if e.model.Cancel(now, s.id) {
		counters.Add("cancelled", 1)
	}
	e.report(now)
}

// now returns the time since the engine was made.
func (e *Engine) now() time.Duration { return time.Since(e.started) }
