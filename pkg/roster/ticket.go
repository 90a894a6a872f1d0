package roster

import (
	"time"

	"github.com/umbercrank/umbercrank/pkg/placement"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// Ticket is one attempt that is counted at an upstream until End.
type Ticket struct {
	roster    *Roster
	row       *row
	begun     time.Duration
	predicted time.Duration
	unread    int
	priority  int
	sensitive bool
	running   bool
}

// Begin counts an attempt at the upstream that was chosen.
func (r *Roster) Begin(now time.Duration, work *placement.Work, choice placement.Choice) *Ticket {
	r.mu.Lock()
	defer r.mu.Unlock()
	row, ok := r.rows[choice.ID]
	if !ok {
		return &Ticket{roster: r, begun: now}
	}
	t := &Ticket{
		roster:    r,
		row:       row,
		begun:     now,
		predicted: choice.First,
		unread:    max(work.Tokens-row.heldTokens(now, work), 0),
		priority:  work.Priority,
		sensitive: work.Sensitive(),
	}
	row.tickets[t] = struct{}{}
	row.hold(now, SharedParts(work))
	return t
}

// SharedParts returns the IDs of the parts that other requests may share.
func SharedParts(work *placement.Work) []string {
	var parts []string
	for i := 0; i+1 < len(work.Parts); i++ {
		parts = append(parts, work.Parts[i].ID)
	}
	return parts
}

func (t *Ticket) load(now time.Duration) placement.Load {
	var load placement.Load
	rank := placement.Rank{Running: 1}
	if !t.running {
		rank = placement.Rank{Waiting: 1, Unread: t.unread}
		if now-t.begun > max(overdueFactor*t.predicted, overdueFloor) {
			load.Overdue = 1
		}
	}
	load.Ranks = map[int]placement.Rank{t.priority: rank}
	if t.sensitive {
		load.Sensitive = 1
	}
	return load
}

// First notes that the first event or the answer came.
func (t *Ticket) First(now time.Duration) {
	t.roster.mu.Lock()
	defer t.roster.mu.Unlock()
	if t.row == nil || t.running {
		return
	}
	t.running = true
	if t.predicted <= 0 {
		return
	}
	ratio := min(max(float64(now-t.begun)/float64(t.predicted), minPace), maxPace)
	if t.row.pace == 0 {
		t.row.pace = 1
	}
	t.row.pace += paceWeight * (ratio*t.row.pace - t.row.pace)
	t.row.pace = min(max(t.row.pace, minPace), maxPace)
}

// End stops counting the attempt and learns from its outcome.
func (t *Ticket) End(now time.Duration, outcome Outcome) {
	t.roster.mu.Lock()
	defer t.roster.mu.Unlock()
	row := t.row
	if row == nil {
		return
	}
	delete(row.tickets, t)
	failing := row.failingAt(now)
	switch outcome {
	case Completed:
		row.failing, row.ejection, row.until = failing*(1-failureWeight), 0, 0
	case Failed, Rejected:
		row.failing, row.failedAt = failing+failureWeight*(1-failing), now
	case Unreachable, Misdirected:
		row.ejection = min(max(2*row.ejection, firstEjection), lastEjection)
		row.until = now + row.ejection
		clear(row.held)
	case Abandoned:
	}
}

// Upstream returns the name of the upstream.
func (t *Ticket) Upstream() types.UpstreamID {
	if t.row == nil {
		return ""
	}
	return t.row.ID
}
