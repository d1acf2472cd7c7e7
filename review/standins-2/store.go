//go:build review2

package main

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in for the platform's metadata store.
type store struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]storeItem
	events   []storeEvent
	changed  chan struct{}
	leases   map[uint64]*storeLease
	lastID   uint64
	address  string
}

type storeItem struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created"`
	Lease    uint64 `json:"lease"`
}

type storeEvent struct {
	storeItem
	Deleted bool
}

type storeLease struct {
	ttl time.Duration
	end time.Time
}

func newStore() *store {
	s := &store{revision: 1, items: make(map[string]storeItem), changed: make(chan struct{}), leases: make(map[uint64]*storeLease)}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		stopRun("the store cannot listen: %v", err)
	}
	s.address = listener.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-key", s.get)
	mux.HandleFunc("GET /kv-range", s.list)
	mux.HandleFunc("GET /kv-watch", s.watch)
	mux.HandleFunc("POST /kv-txn", s.txn)
	mux.HandleFunc("POST /kv-lease", s.grant)
	mux.HandleFunc("POST /kv-keep/{id}", s.keep)
	mux.HandleFunc("DELETE /kv-lease-end/{id}", s.end)
	go func() { _ = http.Serve(listener, mux) }()
	go func() {
		for {
			time.Sleep(100 * time.Millisecond)
			s.mu.Lock()
			for id, l := range s.leases {
				if time.Now().After(l.end) {
					s.endLease(id)
				}
			}
			s.mu.Unlock()
		}
	}()
	return s
}

// put writes a key as the operator does.
func (s *store) put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.set(key, value, 0)
	s.notify()
}

func (s *store) set(key string, value []byte, lease uint64) {
	created := s.revision
	if old, ok := s.items[key]; ok {
		created = old.Created
	}
	i := storeItem{key, value, s.revision, created, lease}
	s.items[key] = i
	s.events = append(s.events, storeEvent{storeItem: i})
}

func (s *store) remove(key string) {
	if _, ok := s.items[key]; ok {
		delete(s.items, key)
		s.events = append(s.events, storeEvent{storeItem{Key: key, Revision: s.revision}, true})
	}
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) endLease(id uint64) {
	delete(s.leases, id)
	s.revision++
	for key, i := range s.items {
		if i.Lease == id {
			s.remove(key)
		}
	}
	s.notify()
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if body != nil {
		_ = json.NewEncoder(w).Encode(body)
	}
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		reply(w, http.StatusNotFound, map[string]any{"currentRev": s.revision})
		return
	}
	reply(w, http.StatusOK, map[string]any{"key": i.Key, "value": i.Value, "revision": i.Revision, "created": i.Created, "lease": i.Lease, "currentRev": s.revision})
}

// pageItems is the largest number of items in a page.
const pageItems = 500

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	found := []storeItem{}
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			found = append(found, i)
		}
	}
	sort.Slice(found, func(a, b int) bool { return found[a].Key < found[b].Key })
	truncated := len(found) > pageItems
	if truncated {
		found = found[:pageItems]
	}
	reply(w, http.StatusOK, map[string]any{"items": found, "truncated": truncated, "currentRev": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(wait)*time.Millisecond)
	defer cancel()
	for {
		s.mu.Lock()
		events := []map[string]any{}
		for _, e := range s.events {
			if e.Revision <= after || !strings.HasPrefix(e.Key, q.Get("prefix")) {
				continue
			}
			if e.Deleted {
				events = append(events, map[string]any{"key": e.Key, "revision": e.Revision, "deleted": true})
			} else {
				events = append(events, map[string]any{"key": e.Key, "value": e.Value, "revision": e.Revision, "created": e.Created, "lease": e.Lease})
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) == 0 {
			select {
			case <-changed:
				continue
			case <-ctx.Done():
			}
		}
		reply(w, http.StatusOK, map[string]any{"events": events, "currentRev": revision})
		return
	}
}

func (s *store) txn(w http.ResponseWriter, r *http.Request) {
	var in struct {
		ExpectRev []struct {
			Key      string
			Revision uint64
		}
		SetKeys []struct {
			Key   string
			Value []byte
			Lease uint64
		}
		Remove []string
	}
	if json.NewDecoder(r.Body).Decode(&in) != nil {
		reply(w, http.StatusBadRequest, nil)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range in.ExpectRev {
		if s.items[c.Key].Revision != c.Revision {
			reply(w, http.StatusPreconditionFailed, map[string]any{"items": []storeItem{}})
			return
		}
	}
	for _, k := range in.SetKeys {
		if strings.HasPrefix(k.Key, "op/") || strings.HasPrefix(k.Key, "servers/") {
			reply(w, http.StatusForbidden, nil)
			return
		}
		if k.Lease != 0 && s.leases[k.Lease] == nil {
			reply(w, http.StatusNotFound, nil)
			return
		}
	}
	s.revision++
	for _, k := range in.SetKeys {
		s.set(k.Key, k.Value, k.Lease)
	}
	for _, k := range in.Remove {
		s.remove(k)
	}
	s.notify()
	reply(w, http.StatusOK, map[string]any{"revision": s.revision})
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var in struct{ TtlMs int64 }
	_ = json.NewDecoder(r.Body).Decode(&in)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastID++
	ttl := time.Duration(max(1000, in.TtlMs)) * time.Millisecond
	s.leases[s.lastID] = &storeLease{ttl, time.Now().Add(ttl)}
	reply(w, http.StatusOK, map[string]any{"lease": s.lastID, "ttlMs": ttl.Milliseconds()})
}

func (s *store) leaseOf(r *http.Request) (uint64, *storeLease) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	return id, s.leases[id]
}

func (s *store) keep(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, l := s.leaseOf(r)
	if l == nil {
		reply(w, http.StatusNotFound, nil)
		return
	}
	l.end = time.Now().Add(l.ttl)
	reply(w, http.StatusOK, map[string]any{"ttlMs": l.ttl.Milliseconds()})
}

func (s *store) end(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id, l := s.leaseOf(r)
	if l == nil {
		reply(w, http.StatusNotFound, nil)
		return
	}
	s.endLease(id)
	reply(w, http.StatusOK, nil)
}
