// Package roster keeps what an instance knows of the upstreams: the published
// list, the work that it and its peers have sent to each, which prompts each has
// read, and how each has behaved. It answers with the candidates of a placement.
// The time is passed in.
package roster

import (
	"sync"
	"time"

	"github.com/umbercrank/umbercrank/pkg/placement"
	"github.com/umbercrank/umbercrank/pkg/types"
)

const (
	// firstEjection and lastEjection bound the growing time in which an upstream
	// that could not be reached gets no work while others can. The last is well
	// below the time in which a crashed upstream is back.
	firstEjection = 250 * time.Millisecond
	lastEjection  = 2 * time.Second
	// peerKeep is how long a peer's report counts without a newer one: five beats.
	peerKeep = 1500 * time.Millisecond
	// heldKeep is how long a part of a prompt is believed to stay in an
	// upstream's memory after its last use.
	heldKeep = 20 * time.Second
	// failureWeight is the weight of one outcome in the recent part of failures:
	// a few requests tell an upstream that fails from one that does not.
	failureWeight = 0.25
	// paceWeight is the weight of one time in the mean against the prediction.
	paceWeight = 0.15
	// minPace and maxPace bound how far one upstream's times can tell.
	minPace, maxPace = 0.5, 8.0
	// failureHalf is the time in which half of a bad record is forgotten, so that
	// an upstream that gets no requests any more is tried again.
	failureHalf = 2 * time.Second
	// overdueFactor and overdueFloor tell a request that is overdue from one
	// that is merely slow.
	overdueFactor = 4
	overdueFloor  = 250 * time.Millisecond
)

// Upstream is one row of the published list.
type Upstream struct {
	ID         types.UpstreamID
	Target     types.TargetName
	Address    string
	DataCentre types.DataCentre
	Slots      int
	// Ready is false while the upstream is leaving.
	Ready bool
	// Born is the start of its present life in Unix milliseconds, or zero.
	Born int64
}

// Outcome is how an attempt ended, as far as it tells of the upstream.
type Outcome int

const (
	// Completed: the upstream gave a whole answer.
	Completed Outcome = iota
	// Failed: the upstream failed, broke off or stayed silent.
	Failed
	// Rejected: the upstream was full and did not run the request.
	Rejected
	// Unreachable: no connection could be made.
	Unreachable
	// Misdirected: another upstream has the address.
	Misdirected
	// Abandoned: the caller or the deadline ended it.
	Abandoned
)

// row is the state of one upstream.
type row struct {
	Upstream
	tickets  map[*Ticket]struct{}
	held     map[string]time.Duration
	failing  float64
	failedAt time.Duration
	pace     float64
	ejection time.Duration
	until    time.Duration
}

// peerReport is the last that was heard of a peer's work.
type peerReport struct {
	at    time.Duration
	loads map[types.UpstreamID]placement.Load
}

// Roster is safe for concurrent use.
type Roster struct {
	mu    sync.Mutex
	rows  map[types.UpstreamID]*row
	peers map[types.InstanceID]peerReport
}

// New returns an empty roster.
func New() *Roster {
	return &Roster{rows: make(map[types.UpstreamID]*row), peers: make(map[types.InstanceID]peerReport)}
}

// Update takes the whole published list. What was learned of an upstream stays
// while it lives; a later life begins anew.
func (r *Roster) Update(list []Upstream) {
	r.mu.Lock()
	defer r.mu.Unlock()
	rows := make(map[types.UpstreamID]*row, len(list))
	for _, upstream := range list {
		known, ok := r.rows[upstream.ID]
		if !ok || known.Born != upstream.Born || known.Address != upstream.Address {
			known = &row{tickets: make(map[*Ticket]struct{}), held: make(map[string]time.Duration)}
		}
		known.Upstream = upstream
		rows[upstream.ID] = known
	}
	r.rows = rows
}

// Ready returns the number of upstreams that take work.
func (r *Roster) Ready() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	count := 0
	for _, row := range r.rows {
		if row.Ready {
			count++
		}
	}
	return count
}

// Candidates returns the upstreams of the target that may run the work. Those
// that could not be reached lately are left out unless there is no other.
func (r *Roster) Candidates(now time.Duration, target types.TargetName, work *placement.Work, except map[types.UpstreamID]bool) []placement.Candidate {
	r.mu.Lock()
	defer r.mu.Unlock()
	var candidates, ejected []placement.Candidate
	for _, row := range r.rows {
		if row.Target != target || !row.Ready || except[row.ID] {
			continue
		}
		candidate := placement.Candidate{
			ID:         row.ID,
			DataCentre: row.DataCentre,
			Slots:      row.Slots,
			Load:       r.load(now, row),
			Failing:    row.failingAt(now),
			Pace:       row.pace,
			Held:       row.heldTokens(now, work),
		}
		if now < row.until {
			ejected = append(ejected, candidate)
			continue
		}
		candidates = append(candidates, candidate)
	}
	if len(candidates) == 0 {
		return ejected
	}
	return candidates
}

// load is the work of this instance and its peers at the upstream.
func (r *Roster) load(now time.Duration, row *row) placement.Load {
	load := row.own(now)
	for _, report := range r.peers {
		if now-report.at < peerKeep {
			load.Add(report.loads[row.ID])
		}
	}
	return load
}

// own is the work of this instance at the upstream.
func (row *row) own(now time.Duration) placement.Load {
	var load placement.Load
	for ticket := range row.tickets {
		load.Add(ticket.load(now))
	}
	return load
}

func (row *row) failingAt(now time.Duration) float64 {
	halves := float64(now-row.failedAt) / float64(failureHalf)
	for ; halves >= 1 && row.failing > 0.01; halves-- {
		row.failing /= 2
		row.failedAt += failureHalf
	}
	return row.failing
}

func (row *row) heldTokens(now time.Duration, work *placement.Work) int {
	held := 0
	for _, part := range work.Parts {
		last, ok := row.held[part.ID]
		if !ok || now-last > heldKeep {
			break
		}
		held += part.Tokens
	}
	return held
}

// Address returns the upstream's address and whether it still takes work.
func (r *Roster) Address(id types.UpstreamID) (string, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	row, ok := r.rows[id]
	if !ok || !row.Ready {
		return "", false
	}
	return row.Address, true
}

// Loads returns the work of this instance, and of some peers, at each upstream
// that has some.
func (r *Roster) Loads(now time.Duration, peers map[types.InstanceID]bool) map[types.UpstreamID]placement.Load {
	r.mu.Lock()
	defer r.mu.Unlock()
	loads := make(map[types.UpstreamID]placement.Load)
	for id, row := range r.rows {
		load := row.own(now)
		for peer := range peers {
			if report, ok := r.peers[peer]; ok && now-report.at < peerKeep {
				load.Add(report.loads[id])
			}
		}
		if !load.Empty() {
			loads[id] = load
		}
	}
	return loads
}

// Ejected returns the upstreams that could not be reached, and for how long
// they get no work.
func (r *Roster) Ejected(now time.Duration) map[types.UpstreamID]time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	ejected := make(map[types.UpstreamID]time.Duration)
	for id, row := range r.rows {
		if now < row.until {
			ejected[id] = row.until - now
		}
	}
	return ejected
}

// Hear takes a peer's report of its own work.
func (r *Roster) Hear(now time.Duration, peer types.InstanceID, loads map[types.UpstreamID]placement.Load, ejected map[types.UpstreamID]time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.peers[peer] = peerReport{at: now, loads: loads}
	for id, rest := range ejected {
		// A peer's word counts for one short ejection: the cut may be the peer's.
		if row, ok := r.rows[id]; ok && now >= row.until && len(row.tickets) == 0 {
			row.until = now + min(rest, firstEjection)
		}
	}
}

// Forget drops a peer's report.
func (r *Roster) Forget(peer types.InstanceID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.peers, peer)
}

// Placed notes that an upstream reads the parts of a prompt.
func (r *Roster) Placed(now time.Duration, id types.UpstreamID, parts []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if row, ok := r.rows[id]; ok {
		row.hold(now, parts)
	}
}

// maxHeld bounds the parts that are believed to be held by one upstream.
const maxHeld = 4096

func (row *row) hold(now time.Duration, parts []string) {
	if len(row.held) > maxHeld {
		for id, last := range row.held {
			if now-last > heldKeep {
				delete(row.held, id)
			}
		}
	}
	if len(row.held) > maxHeld {
		clear(row.held)
	}
	for _, part := range parts {
		row.held[part] = now
	}
}
