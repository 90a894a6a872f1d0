//go:build review

package lib2

import (
	"bytes"
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Mode is how the store treats calls.
type Mode string

const (
	// Up answers all calls.
	Up Mode = "up"
	// Silent answers none.
	Silent Mode = "silent"
	// Busy answers all with 503.
	Busy Mode = "busy"
)

// Item is an item of the store, or a tombstone.
type Item struct {
	Key               string
	Value             []byte `json:",omitempty"`
	Revision          uint64
	CreatedRev, Lease uint64
	Tombstone         bool `json:",omitempty"`
}

// Store is a stand-in of the platform's metadata store.
type Store struct {
	mu       sync.Mutex
	mode     Mode
	era      uint64
	revision uint64
	items    map[string]Item
	history  []Item
	// writtenAt is when each change of the history was made, and compacted the newest revision that
	// it no longer has.
	writtenAt []time.Time
	compacted uint64
	changed   chan struct{}
	// seen is when each entry was last written, also if only its Sequence was new.
	seen     map[string]time.Time
	listener net.Listener
	record   *Record
}

// NewStore starts a store at the address.
func NewStore(address string, record *Record) (*Store, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &Store{mode: Up, era: 1, revision: 10, items: make(map[string]Item), changed: make(chan struct{}), seen: make(map[string]time.Time), listener: listener, record: record}
	go func() { _ = (&http.Server{Handler: s}).Serve(listener) }()
	return s, nil
}

// Address returns the address of the store.
func (s *Store) Address() string { return s.listener.Addr().String() }

// SetMode changes how the store treats calls.
func (s *Store) SetMode(mode Mode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode = mode
	s.record.Add("store %s", mode)
	for key := range s.seen {
		s.seen[key] = time.Now()
	}
	s.wake()
}

// historyKept is how long the store keeps its history, HistoryS of the settings.
const historyKept = 20 * time.Second

// prune discards the history that is too old. s.mu must be held.
func (s *Store) prune() {
	for len(s.writtenAt) > 0 && time.Since(s.writtenAt[0]) > historyKept {
		s.compacted = s.history[0].Revision
		s.history, s.writtenAt = s.history[1:], s.writtenAt[1:]
	}
}

// wake wakes the waiting watches. s.mu must be held.
func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Put writes a value, and reports whether the store accepted it.
func (s *Store) Put(key string, value any) bool {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return s.write(Item{Key: key, Value: text})
}

// Remove removes a key, and reports whether the store accepted it.
func (s *Store) Remove(key string) bool { return s.write(Item{Key: key, Tombstone: true}) }

func (s *Store) write(item Item) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.mode != Up {
		return false
	}
	s.apply(item)
	return true
}

// apply changes an item. s.mu must be held.
func (s *Store) apply(item Item) {
	s.revision++
	item.Revision, item.CreatedRev = s.revision, s.revision
	if before, ok := s.items[item.Key]; ok {
		item.CreatedRev = before.CreatedRev
	}
	s.history, s.writtenAt = append(s.history, item), append(s.writtenAt, time.Now())
	if item.Tombstone {
		delete(s.items, item.Key)
	} else {
		s.items[item.Key] = item
	}
	s.seen[item.Key] = time.Now()
	s.record.Add("store revision %d: %s %s", item.Revision, item.Key, summary(item))
	s.wake()
}

func summary(item Item) string {
	if item.Tombstone {
		return "removed"
	}
	return string(item.Value[:min(len(item.Value), 200)])
}

// PutEntry writes the entry of a worker. It changes only if more than Sequence does.
func (s *Store) PutEntry(id string, entry map[string]any) bool {
	text, err := json.Marshal(entry)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.mode != Up {
		return false
	}
	key := "servers/" + id
	if held, ok := s.items[key]; ok && bytes.Equal(withoutSequence(held.Value), withoutSequence(text)) {
		s.seen[key] = time.Now()
		return true
	}
	s.apply(Item{Key: key, Value: text})
	return true
}

func withoutSequence(value []byte) []byte {
	var fields map[string]any
	if json.Unmarshal(value, &fields) != nil {
		return value
	}
	delete(fields, "Sequence")
	text, _ := json.Marshal(fields)
	return text
}

// Expire removes the entries that were not written for the time, while the store is up.
func (s *Store) Expire(after time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.mode != Up {
		return
	}
	for key := range s.items {
		if strings.HasPrefix(key, "servers/") && time.Since(s.seen[key]) > after {
			s.apply(Item{Key: key, Tombstone: true})
		}
	}
}

// Copy is the state of the store at some time.
type Copy struct {
	revision, compacted uint64
	items               map[string]Item
	history             []Item
	writtenAt           []time.Time
}

// Copy returns the present state.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Copy{s.revision, s.compacted, maps.Clone(s.items), slices.Clone(s.history), slices.Clone(s.writtenAt)}
}

// Return makes the store come back from a copy, in a new era.
func (s *Store) Return(from Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision, s.compacted, s.items, s.history = from.revision, from.compacted, maps.Clone(from.items), slices.Clone(from.history)
	s.writtenAt = slices.Clone(from.writtenAt)
	s.era++
	for key := range s.seen {
		s.seen[key] = time.Now()
	}
	s.record.Add("store is back from a copy at revision %d, era %d", s.revision, s.era)
	s.wake()
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	var deadline time.Time
	watch := r.URL.Path == "/kv-watch"
	if watch {
		wait, err := strconv.Atoi(query.Get("WaitMs"))
		if err != nil || wait < 0 || wait > 30_000 {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		deadline = time.Now().Add(time.Duration(wait) * time.Millisecond)
	}
	after, _ := strconv.ParseUint(query.Get("After"), 10, 64)
	time.Sleep(2 * time.Millisecond)
	began := uint64(0)
	for {
		s.mu.Lock()
		s.prune()
		mode, era, changed := s.mode, s.era, s.changed
		if began == 0 {
			began = era
		}
		status, body := http.StatusOK, any(nil)
		waits := false
		switch {
		case mode == Silent:
		case mode == Busy:
			status = http.StatusServiceUnavailable
		case era != began:
			s.mu.Unlock()
			panic(http.ErrAbortHandler)
		case watch && (after < s.compacted || after > s.revision):
			status = http.StatusGone
		case watch:
			var events []Item
			for _, event := range s.history {
				if event.Revision > after && strings.HasPrefix(event.Key, query.Get("Prefix")) {
					events = append(events, event)
				}
			}
			body = map[string]any{"events": events, "StoreRevision": s.revision}
			waits = len(events) == 0 && time.Now().Before(deadline)
		case r.URL.Path == "/kv-range":
			body = s.page(query.Get("Prefix"), query.Get("After"))
		case r.URL.Path == "/kv-key":
			item, ok := s.items[query.Get("Key")]
			if body = item; !ok {
				status, body = http.StatusNotFound, nil
			}
		default:
			status = http.StatusNotFound
		}
		s.mu.Unlock()
		if mode == Silent {
			// The caller gives up; the connection carries nothing further.
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		if waits {
			timer := time.NewTimer(time.Until(deadline))
			select {
			case <-changed:
			case <-timer.C:
			case <-r.Context().Done():
				timer.Stop()
				return
			}
			timer.Stop()
			continue
		}
		w.Header().Set("Store-Era", strconv.FormatUint(era, 10))
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(status)
		if body != nil {
			_ = json.NewEncoder(w).Encode(body)
		}
		return
	}
}

// page returns a page of a range. s.mu must be held.
func (s *Store) page(prefix, after string) any {
	const pageItems = 500
	var items []Item
	for key, item := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, item)
		}
	}
	slices.SortFunc(items, func(a, b Item) int { return strings.Compare(a.Key, b.Key) })
	more := len(items) > pageItems
	if more {
		items = items[:pageItems]
	}
	return map[string]any{"Items": items, "MorePages": more, "StoreRevision": s.revision}
}

// PutRaw writes bytes, as another writer might.
func (s *Store) PutRaw(key string, value []byte) bool { return s.write(Item{Key: key, Value: value}) }
