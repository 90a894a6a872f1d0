//go:build review

package lib

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Store is a stand-in for the platform's store: its calls to read.
type Store struct {
	address string

	mu       sync.Mutex
	revision uint64
	items    map[string]storeItem
	history  []storeItem
	changed  chan struct{}
}

type storeItem struct {
	Key               string
	Value             []byte `json:",omitempty"`
	Revision          uint64
	CreatedRev, Lease uint64
	Tombstone         bool `json:",omitempty"`
}

type storePage struct {
	Items         []storeItem `json:",omitempty"`
	Events        []storeItem `json:"events,omitempty"`
	MorePages     bool
	StoreRevision uint64
}

func newStore(address string) *Store {
	return &Store{address: address, revision: 400, items: make(map[string]storeItem), changed: make(chan struct{})}
}

func (s *Store) listen() error {
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	go func() { _ = http.Serve(listener, s) }()
	return nil
}

// Put writes an item; the return is the acknowledgement.
func (s *Store) Put(key string, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.write(storeItem{Key: key, Value: text})
}

// Remove removes an item.
func (s *Store) Remove(key string) { s.write(storeItem{Key: key, Tombstone: true}) }

func (s *Store) write(item storeItem) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	item.Revision = s.revision
	s.history = append(s.history, item)
	if item.Tombstone {
		delete(s.items, item.Key)
	} else {
		s.items[item.Key] = item
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	page := storePage{}
	switch r.URL.Path {
	case "/kv-range":
		page = s.list(query.Get("Prefix"), query.Get("After"))
	case "/kv-watch":
		after, _ := strconv.ParseUint(query.Get("After"), 10, 64)
		wait, _ := strconv.Atoi(query.Get("WaitMs"))
		page = s.watch(r, query.Get("Prefix"), after, time.Duration(min(wait, 30_000))*time.Millisecond)
	default:
		w.WriteHeader(http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", "1")
	_ = json.NewEncoder(w).Encode(page)
}

func (s *Store) list(prefix, after string) storePage {
	s.mu.Lock()
	defer s.mu.Unlock()
	page := storePage{StoreRevision: s.revision}
	for key, item := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			page.Items = append(page.Items, item)
		}
	}
	slices.SortFunc(page.Items, func(a, b storeItem) int { return strings.Compare(a.Key, b.Key) })
	return page
}

func (s *Store) watch(r *http.Request, prefix string, after uint64, wait time.Duration) storePage {
	deadline := time.After(wait)
	for {
		s.mu.Lock()
		changed := s.changed
		page := storePage{StoreRevision: s.revision}
		for _, event := range s.history {
			if event.Revision > after && strings.HasPrefix(event.Key, prefix) {
				page.Events = append(page.Events, event)
			}
		}
		s.mu.Unlock()
		if len(page.Events) > 0 {
			return page
		}
		select {
		case <-changed:
		case <-deadline:
			return page
		case <-r.Context().Done():
			return page
		}
	}
}
