package roster

import (
	"fmt"
	"testing"
	"time"

	"github.com/umbercrank/umbercrank/pkg/placement"
	"github.com/umbercrank/umbercrank/pkg/types"
)

func entryOf(id types.UpstreamID, started int64) Upstream {
	return Upstream{ID: id, Target: pool, Address: string(id) + ":1", Slots: 4, Ready: true, StartedUnixMilli: started}
}

// TestStatementHoldsForOneProcess checks how long what an upstream says of itself counts.
func TestStatementHoldsForOneProcess(t *testing.T) {
	const now, pause = time.Second, time.Minute
	for statement, say := range map[string]func(a *Attempt){
		"leaving": func(a *Attempt) { a.Leave() },
		"pause":   func(a *Attempt) { a.Pause(now, pause) },
	} {
		for name, c := range map[string]struct {
			lists [][]Upstream
			want  bool
		}{
			"same entry":                      {[][]Upstream{{entryOf("a", 1)}}, false},
			"entry lapsed and returned":       {[][]Upstream{nil, {entryOf("a", 1)}}, false},
			"new process":                     {[][]Upstream{{entryOf("a", 2)}}, true},
			"lapsed, then a new process":      {[][]Upstream{nil, {entryOf("a", 2)}}, true},
			"new process, then the old entry": {[][]Upstream{{entryOf("a", 2)}, {entryOf("a", 1)}}, true},
		} {
			t.Run(statement+"/"+name, func(t *testing.T) {
				r := newRoster("a")
				say(r.Begin(now, prompt(0), placement.Choice{ID: "a"}))
				for _, list := range c.lists {
					r.Update(list)
				}
				_, found := r.Find(now, "a")
				candidates := len(r.Candidates(now, Selection{Target: pool}, prompt(0)))
				if found != c.want || candidates > 0 != c.want {
					t.Errorf("the upstream accepts requests: %v, %d candidates; want %v", found, candidates, c.want)
				}
			})
		}
	}
}

// TestStatementOfFormerProcess checks a response that arrives after another process has taken
// over the ID.
func TestStatementOfFormerProcess(t *testing.T) {
	r := newRoster("a")
	attempt := r.Begin(0, prompt(0), placement.Choice{ID: "a"})
	r.Update([]Upstream{entryOf("a", 2)})
	if _, isNew := attempt.Leave(); isNew {
		t.Error("the statement of a former process counts")
	}
	if _, found := r.Find(0, "a"); !found {
		t.Error("the new process gets no requests because the former one left")
	}
}

func TestUnlistedStatementsAreBounded(t *testing.T) {
	r := New()
	for i := range 2 * maxUnlistedStatements {
		r.MergeLeaving([]Process{{Upstream: types.UpstreamID(fmt.Sprint("u", i))}})
	}
	r.Update([]Upstream{entryOf("u1", 0)})
	if got := len(r.Leaving()); got > maxUnlistedStatements {
		t.Errorf("%d statements are kept", got)
	}
}
