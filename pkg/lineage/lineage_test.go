package lineage

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "github.com/umbercrank/umbercrank/test/fixedseed"
)

// heartbeat is the time between two writes of an entry by its process.
const heartbeat = time.Second

// modelStore is a store with entries that processes write, as the platform has it.
type modelStore struct {
	now      time.Time
	revision uint64
	items    map[string]*modelItem
	// changedAt is when an entry was last removed, or taken over by another process.
	changedAt time.Time
}

type modelItem struct {
	Item
	process *modelProcess
}

// modelProcess is a process that writes an entry.
type modelProcess struct {
	key     string
	started time.Time
	writes  uint64
	alive   bool
}

func (s *modelStore) write(key string, process *modelProcess, entry *Entry) {
	s.revision++
	held, ok := s.items[key]
	if !ok {
		held = &modelItem{Item: Item{Created: s.revision, Listed: strings.HasPrefix(key, "entries/")}}
		s.items[key] = held
	}
	if ok && held.process != nil && held.process != process {
		s.changedAt = s.now
	}
	held.Revision, held.process, held.Entry = s.revision, process, entry
}

func (s *modelStore) remove(key string) {
	if held, ok := s.items[key]; ok {
		if held.Listed {
			s.changedAt = s.now
		}
		s.revision++
		delete(s.items, key)
	}
}

// heartbeat is a write of a process, which changes the item only if it is not there or another
// process wrote it.
func (s *modelStore) heartbeat(p *modelProcess) {
	p.writes++
	if held, ok := s.items[p.key]; !ok || held.process != p {
		s.write(p.key, p, &Entry{Started: p.started, Writes: p.writes})
	}
}

func (s *modelStore) snapshot() Snapshot {
	snapshot := Snapshot{Revision: s.revision, At: s.now.Truncate(time.Second)}
	for _, item := range s.items {
		snapshot.Items = append(snapshot.Items, item.Item)
	}
	return snapshot
}

// TestEntriesAreUnchangedForThatTime guards against an age that hides a process that has left or was replaced:
// a stream that it began would go on at another version.
func TestEntriesAreUnchangedForThatTime(t *testing.T) {
	told := 0
	rapid.Check(t, func(t *rapid.T) {
		s := &modelStore{now: time.UnixMilli(1_700_000_000_000), revision: rapid.Uint64Range(0, 50).Draw(t, "first revision"), items: make(map[string]*modelItem)}
		s.write("configuration", nil, nil)
		var processes []*modelProcess
		start := func(key string) {
			p := &modelProcess{key: key, started: s.now, alive: true}
			processes = append(processes, p)
			s.now = s.now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "delay")) * time.Millisecond)
			s.heartbeat(p)
		}
		end := func(key string) {
			for _, p := range processes {
				p.alive = p.alive && p.key != key
			}
		}
		for i := range rapid.IntRange(0, 4).Draw(t, "processes") {
			start(fmt.Sprint("entries/", i))
		}
		foreign, away := false, false
		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			s.now = s.now.Add(heartbeat)
			which := rapid.IntRange(0, 5).Draw(t, "which")
			key := fmt.Sprint("entries/", which)
			switch rapid.IntRange(0, 60).Draw(t, "change") {
			case 0, 1:
				end(key)
				start(key)
			case 2:
				end(key)
				s.remove(key)
			case 3:
				s.write("configuration", nil, nil)
			case 4:
				// All entries lapse in an outage, and the live ones return.
				for k, item := range s.items {
					if item.Listed {
						s.remove(k)
					}
				}
			case 5:
				// One entry of another writer, which may state any time.
				if !foreign {
					foreign = true
					s.write("entries/foreign", nil, &Entry{Started: time.UnixMilli(1), Writes: 1})
				}
			case 6:
				s.write(key, nil, nil)
			case 7:
				away = !away
			case 8:
				if held := s.items[key]; held != nil && held.process != nil {
					// It changes its state.
					s.write(key, held.process, &Entry{Started: held.process.started, Writes: held.process.writes})
				}
			}
			for _, p := range processes {
				if p.alive && !away {
					s.heartbeat(p)
				}
			}
			if age, ok := s.snapshot().UnchangedFor(); ok {
				told++
				if since := s.now.Add(-age); s.changedAt.After(since) {
					t.Fatalf("unchanged for %v, but the last change was %v ago", age, s.now.Sub(s.changedAt))
				}
			}
		}
	})
	if told == 0 {
		t.Error("no age was told")
	}
}

// TestAgeOfUnchangedEntries checks the age of a list that nothing has changed, and what hides it.
func TestAgeOfUnchangedEntries(t *testing.T) {
	at := time.UnixMilli(1_700_000_000_000)
	entry := func(created, revision uint64, age time.Duration, writes uint64) Item {
		return Item{Created: created, Revision: revision, Listed: true, Entry: &Entry{Started: at.Add(-age), Writes: writes}}
	}
	config := Item{Created: 11, Revision: 11}
	two := []Item{config, entry(12, 12, 40*time.Second, 1), entry(13, 13, 39*time.Second, 1)}
	for name, c := range map[string]struct {
		items    []Item
		revision uint64
		age      time.Duration
	}{
		"two entries":                           {two, 13, 39*time.Second - margin},
		"a removal after them":                  {two, 14, 0},
		"a removal before one of them":          {[]Item{config, entry(12, 12, 40*time.Second, 1), entry(14, 14, 39*time.Second, 1)}, 14, 0},
		"a single entry":                        {two[:2], 12, 0},
		"one that was written again":            {[]Item{config, entry(12, 12, 40*time.Second, 1), entry(13, 13, 39*time.Second, 30)}, 13, 0},
		"another process under one ID":          {append([]Item{entry(14, 15, 5*time.Second, 1)}, two...), 15, 5*time.Second - margin},
		"a change by the same process":          {append([]Item{entry(14, 15, 50*time.Second, 20)}, two...), 15, 39*time.Second - margin},
		"an entry that was overwritten":         {append([]Item{{Created: 14, Revision: 15, Listed: true}}, two...), 15, 0},
		"an unreadable entry":                   {append([]Item{{Created: 14, Revision: 14, Listed: true}}, two...), 14, 39*time.Second - margin},
		"entries without the time of the start": {[]Item{config, {Created: 12, Revision: 12, Listed: true, Entry: &Entry{}}, {Created: 13, Revision: 13, Listed: true, Entry: &Entry{}}}, 13, 0},
		"no items":                              {nil, 13, 0},
		"a start in the future":                 {[]Item{config, entry(12, 12, -time.Minute, 1), entry(13, 13, -time.Minute, 1)}, 13, 0},
	} {
		s := Snapshot{Revision: c.revision, At: at, Items: c.items}
		if age, ok := s.UnchangedFor(); ok != (c.age > 0) || ok && age != c.age {
			t.Errorf("%s: %v, %t, want %v", name, age, ok, c.age)
		}
		s.At = time.Time{}
		if _, ok := s.UnchangedFor(); ok {
			t.Errorf("%s: an age without the time of day", name)
		}
	}
}
