package idempotency

import (
	"context"
	"sync"
	"time"

	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// Store is a Table that is safe for concurrent use. It lets copies of a request
// wait for the copy that is executing. It reads the monotonic clock of the
// process.
type Store struct {
	started time.Time
	windows Windows

	mu      sync.Mutex
	table   *Table
	pending map[ScopedKey]*Pending
}

// NewStore returns a store whose window zero begins now.
func NewStore(incarnation types.Incarnation, settings Settings) *Store {
	return &Store{
		started: time.Now(),
		windows: settings.Windows,
		table:   NewTable(incarnation, settings),
		pending: make(map[ScopedKey]*Pending),
	}
}

// CurrentWindow returns the current window.
func (s *Store) CurrentWindow() Window { return s.windows.Current(time.Since(s.started)) }

// IsOpen reports whether the window still accepts keys.
func (s *Store) IsOpen(window Window) bool {
	return !s.windows.Closed(window, time.Since(s.started))
}

// Pending is an execution whose result other copies of the request can wait for.
type Pending struct {
	done   chan struct{}
	result Result
}

// Wait waits for the result. If ctx is done first, it returns an error with code
// OutcomeUnknown and run state MayHaveRun.
func (p *Pending) Wait(ctx context.Context) (Result, error) {
	select {
	case <-p.done:
		return p.result, nil
	case <-ctx.Done():
		return Result{}, fault.Wrap(fault.OutcomeUnknown, ctx.Err(), "the wait for the outcome was interrupted")
	}
}

// Begin returns the action for one copy of a request; see Table.Begin. After
// Execute, the caller must call Finish exactly once. After Wait or Replay, the
// result comes from the Pending.
func (s *Store) Begin(id ScopedKey, fp Fingerprint) (Action, *Pending, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	action, result, err := s.table.Begin(time.Since(s.started), id, fp)
	if err != nil {
		return action, nil, err
	}
	switch action {
	case Execute:
		s.pending[id] = &Pending{done: make(chan struct{})}
		return Execute, s.pending[id], nil
	case Wait:
		return Wait, s.pending[id], nil
	default:
		return Replay, finished(result), nil
	}
}

// finished returns a Pending that already has its result.
func finished(result Result) *Pending {
	p := &Pending{done: make(chan struct{}), result: result}
	close(p.done)
	return p
}

// MayHaveRun reports whether a copy of the request may have run; see
// Table.MayHaveRun.
func (s *Store) MayHaveRun(id ScopedKey) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.MayHaveRun(time.Since(s.started), id)
}

// Finish passes the result of an execution to all waiting copies. If the result
// is a failure with run state NotRun, the key is released; otherwise the result is
// kept for later copies.
func (s *Store) Finish(id ScopedKey, result Result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if result.Failure != nil && result.Failure.RunState == types.NotRun {
		s.table.Release(id)
	} else {
		s.table.Complete(id, result)
	}
	if p, ok := s.pending[id]; ok {
		p.result = result
		close(p.done)
		delete(s.pending, id)
	}
}
