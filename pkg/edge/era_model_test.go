package edge

import (
	"maps"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/umbercrank/umbercrank/pkg/follow"
	"github.com/umbercrank/umbercrank/pkg/replica"
	"github.com/umbercrank/umbercrank/pkg/types"
	_ "github.com/umbercrank/umbercrank/test/fixedseed"
)

// modelStore is one collection of a store that may return from an older copy.
type modelStore struct {
	era, number uint64
	items       map[string]replica.Item
	history     []replica.Item
	// truth has the value of each key as it was written last; a lost one is written again.
	truth map[string]string
}

func (s *modelStore) write(key, value string) {
	s.number++
	item := replica.Item{Key: key, Value: []byte(value), Revision: at(s.era, s.number), Removed: value == ""}
	s.history = append(s.history, item)
	s.truth[key] = value
	s.items[key] = item
}

// list returns the live items.
func (s *modelStore) list() []replica.Item {
	return slices.DeleteFunc(slices.Collect(maps.Values(s.items)), func(item replica.Item) bool { return item.Removed })
}

func (s *modelStore) copy() modelStore {
	return modelStore{number: s.number, items: maps.Clone(s.items), history: slices.Clone(s.history)}
}

// restore returns from a copy. Numbers are given out again in a higher era.
func (s *modelStore) restore(from modelStore) {
	s.era++
	s.number, s.items, s.history = from.number, make(map[string]replica.Item), nil
	for key, item := range from.items {
		item.Revision = at(s.era, item.Revision.Number())
		s.items[key] = item
	}
}

// modelInstance is an instance and its position in the two collections.
type modelInstance struct {
	*Edge
	after   map[string]types.Revision
	version int
	applied types.Revision
	cut     bool
}

func newModelInstance(now *time.Duration) *modelInstance {
	e, _ := newTestEdge()
	e.now = func() time.Duration { return *now }
	return &modelInstance{Edge: e, after: make(map[string]types.Revision)}
}

// read reads a collection as a Follower does.
func (i *modelInstance) read(name string, s *modelStore) {
	after := i.after[name]
	newest := at(s.era, s.number)
	if after == 0 || after.Era() != s.era {
		sink{i.Edge, name}.Replace(s.list(), newest, follow.Outage{})
	} else {
		var changes []replica.Item
		for _, item := range s.history {
			if item.Revision > after {
				changes = append(changes, item)
			}
		}
		sink{i.Edge, name}.Merge(changes)
	}
	i.after[name] = newest
}

// model is a fleet before a store. Version is that of the newest configuration.
type model struct {
	now       time.Duration
	stores    map[string]*modelStore
	copies    []map[string]modelStore
	instances []*modelInstance
	version   int
}

var collections = []string{configuration, upstreams}

func (m *model) configure() {
	m.version++
	m.stores[configuration].write("config", strconv.Itoa(m.version))
}

// writeAgain writes the lost value of one key again.
func (m *model) writeAgain(name, key string) {
	s := m.stores[name]
	if value := s.truth[key]; string(s.items[key].Value) != value {
		s.write(key, value)
	}
}

// check reports an instance that has gone back.
func (m *model) check(t *rapid.T) {
	for number, i := range m.instances {
		current := i.gateway.Catalog()
		if current == nil {
			continue
		}
		version, _ := strconv.Atoi(current.Version)
		if version < i.version || current.Revision < i.applied {
			t.Fatalf("instance %d has gone back from version %d at %v to %d at %v", number, i.version, i.applied, version, current.Revision)
		}
		i.version, i.applied = version, current.Revision
	}
}

// settle lets all be written again, read, exchanged and expired.
func (m *model) settle() {
	for _, name := range collections {
		for _, key := range slices.Sorted(maps.Keys(m.stores[name].truth)) {
			m.writeAgain(name, key)
		}
	}
	for range 2 {
		for _, i := range m.instances {
			for _, name := range collections {
				i.read(name, m.stores[name])
			}
			i.expire()
		}
		m.now += rewriteGracePeriod
	}
	for _, i := range m.instances {
		i.expire()
	}
}

// checkSettled reports an instance that differs from the store after the quiet time.
func (m *model) checkSettled(t *rapid.T) {
	want := []string(nil)
	for _, item := range m.stores[upstreams].list() {
		if !strings.HasSuffix(string(item.Value), "leaving") {
			want = append(want, item.Key)
		}
	}
	slices.Sort(want)
	for number, i := range m.instances {
		if got := i.gateway.Catalog().Version; got != strconv.Itoa(m.version) {
			t.Fatalf("instance %d has version %s in force, want %d", number, got, m.version)
		}
		if got := ready(i.Edge); !slices.Equal(got, want) {
			t.Fatalf("instance %d uses %v, want %v", number, got, want)
		}
	}
}

// TestInstancesAgreeAfterStoreReturns draws changes, returns of the store from older copies,
// cuts, exchanges between peers and restarts. No instance may go back to an older configuration
// or revision, and all agree with the store once it is quiet.
func TestInstancesAgreeAfterStoreReturns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{now: time.Hour, stores: make(map[string]*modelStore)}
		for _, name := range collections {
			m.stores[name] = &modelStore{items: make(map[string]replica.Item), truth: make(map[string]string), number: 10}
		}
		m.configure()
		workers := []string{"a", "b", "c"}
		for number, key := range workers {
			m.stores[upstreams].write(key, strconv.Itoa(number+1))
		}
		for range rapid.IntRange(2, 5).Draw(t, "instances") {
			m.instances = append(m.instances, newModelInstance(&m.now))
		}
		started := len(workers)
		one := func() *modelInstance { return rapid.SampledFrom(m.instances).Draw(t, "instance") }
		collection := func() string { return rapid.SampledFrom(collections).Draw(t, "collection") }
		t.Repeat(map[string]func(*rapid.T){
			"":          m.check,
			"configure": func(*rapid.T) { m.configure() },
			"worker writes": func(t *rapid.T) {
				key := rapid.SampledFrom(workers).Draw(t, "worker")
				s := m.stores[upstreams]
				switch value := s.truth[key]; {
				case value == "" || strings.HasSuffix(value, "leaving"):
					started++
					s.write(key, strconv.Itoa(started))
				case rapid.Bool().Draw(t, "announced"):
					s.write(key, value+"leaving")
				default:
					s.write(key, "")
				}
			},
			"copy": func(*rapid.T) {
				copies := make(map[string]modelStore)
				for name, s := range m.stores {
					copies[name] = s.copy()
				}
				m.copies = append(m.copies, copies)
			},
			"return from copy": func(t *rapid.T) {
				if len(m.copies) == 0 {
					t.Skip()
				}
				copies := rapid.SampledFrom(m.copies).Draw(t, "copy")
				for name, s := range m.stores {
					s.restore(copies[name])
				}
			},
			"write again": func(t *rapid.T) {
				name := collection()
				m.writeAgain(name, rapid.SampledFrom(slices.Sorted(maps.Keys(m.stores[name].truth))).Draw(t, "key"))
			},
			"read": func(t *rapid.T) {
				if i := one(); !i.cut {
					name := collection()
					i.read(name, m.stores[name])
				}
			},
			"cut or heal": func(*rapid.T) {
				i := one()
				i.cut = !i.cut
			},
			"exchange": func(*rapid.T) { exchange(one().Edge, one().Edge) },
			"restart": func(t *rapid.T) {
				number := rapid.IntRange(0, len(m.instances)-1).Draw(t, "restarted")
				m.instances[number] = newModelInstance(&m.now)
			},
			"wait": func(t *rapid.T) {
				m.now += time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond
				for _, i := range m.instances {
					i.expire()
				}
			},
		})
		m.settle()
		m.check(t)
		m.checkSettled(t)
	})
}
