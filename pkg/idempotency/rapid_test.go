package idempotency

import (
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// onceModel is what a table may do: one execution of each key that is not
// released, and none after its window has closed.
type onceModel struct {
	table   *Table
	now     time.Duration
	running map[ScopedKey]bool
	done    map[ScopedKey]string
}

func (m *onceModel) begin(t *rapid.T) {
	window := Window(rapid.Uint64Range(0, 6).Draw(t, "window"))
	name := named(window, strconv.Itoa(rapid.IntRange(0, 3).Draw(t, "nonce")))
	action, result, err := m.table.Begin(m.now, name, 1)
	closed := m.table.settings.Windows.Closed(window, m.now)
	switch {
	case err != nil:
		return
	case closed:
		t.Fatalf("a key of a closed window got action %d", action)
	case action == Execute && (m.running[name] || m.done[name] != ""):
		t.Fatalf("%v executes a second time", name.Key)
	case action == Wait && !m.running[name]:
		t.Fatalf("%v waits for nothing", name.Key)
	case action == Replay && result.Failure == nil && string(result.Body) != m.done[name]:
		t.Fatalf("%v replays %q, not %q", name.Key, result.Body, m.done[name])
	case action == Execute:
		m.running[name] = true
	}
}

// end completes or releases one running key, if there is one.
func (m *onceModel) end(t *rapid.T) {
	released := rapid.Bool().Draw(t, "released")
	for name := range m.running {
		delete(m.running, name)
		if released {
			m.table.Release(name)
			return
		}
		m.done[name] = m.now.String()
		m.table.Complete(name, Result{Body: []byte(m.done[name])})
		return
	}
}

func (m *onceModel) wait(t *rapid.T) {
	m.now += time.Duration(rapid.IntRange(0, 15).Draw(t, "wait"))
}

func (m *onceModel) check(t *rapid.T) {
	if m.table.records > m.table.settings.MaxRecords || m.table.bytes > m.table.settings.MaxResultBytes {
		t.Fatalf("holds %d records and %d bytes", m.table.records, m.table.bytes)
	}
	if m.table.records < 0 || m.table.bytes < 0 {
		t.Fatalf("counts %d records and %d bytes", m.table.records, m.table.bytes)
	}
}

func TestTableExecutesEachKeyAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &onceModel{
			table:   NewTable(self, testSettings()),
			running: make(map[ScopedKey]bool),
			done:    make(map[ScopedKey]string),
		}
		t.Repeat(map[string]func(*rapid.T){"begin": m.begin, "end": m.end, "wait": m.wait, "": m.check})
	})
}
