package idempotency

import (
	"context"
	"sync"
	"time"

	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// Store shares a Table between goroutines and lets copies wait for the one that
// executes. Its clock is the monotonic one of the process.
type Store struct {
	started time.Time
	windows Windows

	mu      sync.Mutex
	table   *Table
	pending map[ScopedKey]*Pending
}

// NewStore returns a store whose windows begin now.
func NewStore(incarnation types.Incarnation, settings Settings) *Store {
	return &Store{
		started: time.Now(),
		windows: settings.Windows,
		table:   NewTable(incarnation, settings),
		pending: make(map[ScopedKey]*Pending),
	}
}

// CurrentWindow returns the window of this moment.
func (s *Store) CurrentWindow() Window { return s.windows.Current(time.Since(s.started)) }

// IsOpen reports whether the window still takes keys.
func (s *Store) IsOpen(window Window) bool {
	return !s.windows.Closed(window, time.Since(s.started))
}

// Pending is an execution whose outcome copies wait for.
type Pending struct {
	done   chan struct{}
	result Result
}

// Wait returns the outcome. It returns OutcomeUnknown, may have run, when ctx
// ends first.
func (p *Pending) Wait(ctx context.Context) (Result, error) {
	select {
	case <-p.done:
		return p.result, nil
	case <-ctx.Done():
		return Result{}, fault.Wrap(fault.OutcomeUnknown, ctx.Err(), "the outcome was not yet known")
	}
}

// Begin decides about one copy; see Table.Begin. With Execute the caller must
// call Finish once. With Wait the outcome comes from the Pending.
func (s *Store) Begin(name ScopedKey, fp Fingerprint) (Action, *Pending, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	action, result, err := s.table.Begin(time.Since(s.started), name, fp)
	if err != nil {
		return action, nil, err
	}
	switch action {
	case Execute:
		s.pending[name] = &Pending{done: make(chan struct{})}
		return Execute, s.pending[name], nil
	case Wait:
		return Wait, s.pending[name], nil
	default:
		return Replay, finished(result), nil
	}
}

func finished(result Result) *Pending {
	p := &Pending{done: make(chan struct{}), result: result}
	close(p.done)
	return p
}

// MayHaveRun reports whether a copy of the request may have run; see
// Table.MayHaveRun.
func (s *Store) MayHaveRun(name ScopedKey) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.MayHaveRun(time.Since(s.started), name)
}

// Finish gives the outcome of an execution to all copies. A failure that says
// "not run" frees the key.
func (s *Store) Finish(name ScopedKey, result Result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if result.Failure != nil && result.Failure.RunState == types.NotRun {
		s.table.Release(name)
	} else {
		s.table.Complete(name, result)
	}
	if p, ok := s.pending[name]; ok {
		p.result = result
		close(p.done)
		delete(s.pending, name)
	}
}
