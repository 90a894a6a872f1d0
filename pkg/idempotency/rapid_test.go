package idempotency

import (
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "github.com/umbercrank/umbercrank/test/fixedseed"
)

// atMostOnceModel is the reference model of a Table: each key executes at most
// once unless it is released, and never after its window has closed.
type atMostOnceModel struct {
	table   *Table
	now     time.Duration
	running map[ScopedKey]bool
	done    map[ScopedKey]string
}

func (m *atMostOnceModel) begin(t *rapid.T) {
	window := Window(rapid.Uint64Range(0, 6).Draw(t, "window"))
	id := scopedKey(window, strconv.Itoa(rapid.IntRange(0, 3).Draw(t, "nonce")))
	action, result, err := m.table.Begin(m.now, id, 1)
	closed := m.table.settings.Windows.Closed(window, m.now)
	switch {
	case err != nil:
		return
	case closed:
		t.Fatalf("a key of a closed window got action %d", action)
	case action == Execute && (m.running[id] || m.done[id] != ""):
		t.Fatalf("%v got action Execute a second time", id.Key)
	case action == Wait && !m.running[id]:
		t.Fatalf("%v got action Wait, but no copy is running", id.Key)
	case action == Replay && result.Failure == nil && string(result.Body) != m.done[id]:
		t.Fatalf("%v replays %q, want %q", id.Key, result.Body, m.done[id])
	case action == Execute:
		m.running[id] = true
	}
}

// end completes or releases one running key, if there is one.
func (m *atMostOnceModel) end(t *rapid.T) {
	released := rapid.Bool().Draw(t, "released")
	for id := range m.running {
		delete(m.running, id)
		if released {
			m.table.Release(id)
			return
		}
		m.done[id] = m.now.String()
		m.table.Complete(id, Result{Body: []byte(m.done[id])})
		return
	}
}

func (m *atMostOnceModel) wait(t *rapid.T) {
	m.now += time.Duration(rapid.IntRange(0, 15).Draw(t, "wait"))
}

func (m *atMostOnceModel) check(t *rapid.T) {
	if m.table.records > m.table.settings.MaxRecords || m.table.bytes > m.table.settings.MaxResultBytes {
		t.Fatalf("limits exceeded: %d records and %d bytes", m.table.records, m.table.bytes)
	}
	if m.table.records < 0 || m.table.bytes < 0 {
		t.Fatalf("negative counters: %d records and %d bytes", m.table.records, m.table.bytes)
	}
}

func TestTableExecutesEachKeyAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &atMostOnceModel{
			table:   NewTable(self, testSettings()),
			running: make(map[ScopedKey]bool),
			done:    make(map[ScopedKey]string),
		}
		t.Repeat(map[string]func(*rapid.T){"begin": m.begin, "end": m.end, "wait": m.wait, "": m.check})
	})
}
