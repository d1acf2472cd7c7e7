//go:build review

package main

import (
	"encoding/base64"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store stands in for the platform's key-value store.
type store struct {
	address string

	mu       sync.Mutex
	revision uint64
	items    map[string]storeItem
	history  []storeItem
	leases   map[uint64]*storeLease
	newest   uint64
	changed  chan struct{}
}

type storeItem struct {
	Key      string `json:"key"`
	Value    string `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease,omitempty"`
	Deleted  bool   `json:"deleted,omitempty"`
}

type storeLease struct {
	ttl  time.Duration
	ends time.Time
}

func startStore() (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{address: l.Addr().String(), revision: 1, items: make(map[string]storeItem), leases: make(map[uint64]*storeLease), changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-key", s.key)
	mux.HandleFunc("GET /kv-range", s.list)
	mux.HandleFunc("GET /kv-watch", s.watch)
	mux.HandleFunc("POST /kv-txn", s.transaction)
	mux.HandleFunc("POST /kv-lease", s.grant)
	mux.HandleFunc("POST /kv-keep/{id}", s.keep)
	mux.HandleFunc("DELETE /kv-lease-end/{id}", s.endLease)
	go func() { _ = http.Serve(l, mux) }()
	go s.expire()
	return s, nil
}

func reply(rw http.ResponseWriter, status int, body any) {
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_ = json.NewEncoder(rw).Encode(body)
}

// put writes a key. s.mu is held.
func (s *store) put(key, value string, lease uint64) {
	s.revision++
	created := s.revision
	if old, ok := s.items[key]; ok {
		created = old.Created
	}
	i := storeItem{Key: key, Value: value, Revision: s.revision, Created: created, Lease: lease}
	s.items[key] = i
	s.record(i)
}

func (s *store) remove(key string) {
	if _, ok := s.items[key]; ok {
		s.revision++
		delete(s.items, key)
		s.record(storeItem{Key: key, Revision: s.revision, Deleted: true})
	}
}

func (s *store) record(i storeItem) {
	s.history = append(s.history, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

// configure writes the operator's configuration.
func (s *store) configure(config any) {
	value, _ := json.Marshal(config)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put("op/config", base64.StdEncoding.EncodeToString(value), 0)
}

func (s *store) key(rw http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		reply(rw, http.StatusNotFound, map[string]any{"currentRev": s.revision})
		return
	}
	reply(rw, http.StatusOK, struct {
		storeItem
		CurrentRev uint64 `json:"currentRev"`
	}{i, s.revision})
}

func (s *store) list(rw http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	items := []storeItem{}
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, i)
		}
	}
	slices.SortFunc(items, func(a, b storeItem) int { return strings.Compare(a.Key, b.Key) })
	reply(rw, http.StatusOK, map[string]any{"items": items, "truncated": false, "currentRev": s.revision})
}

func (s *store) watch(rw http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	limit := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []storeItem{}
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, q.Get("prefix")) {
				events = append(events, i)
			}
		}
		changed, current := s.changed, s.revision
		s.mu.Unlock()
		if len(events) > 0 {
			reply(rw, http.StatusOK, map[string]any{"events": events, "currentRev": current})
			return
		}
		select {
		case <-changed:
		case <-limit:
			reply(rw, http.StatusOK, map[string]any{"events": events, "currentRev": current})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) transaction(rw http.ResponseWriter, r *http.Request) {
	var t struct {
		ExpectRev []struct {
			Key      string
			Revision uint64
		}
		SetKeys []struct {
			Key, Value string
			Lease      uint64
		}
		Remove []string
	}
	if json.NewDecoder(r.Body).Decode(&t) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	found, holds := []storeItem{}, true
	for _, e := range t.ExpectRev {
		i, ok := s.items[e.Key]
		if ok {
			found = append(found, i)
		}
		holds = holds && i.Revision == e.Revision
	}
	if !holds {
		reply(rw, http.StatusPreconditionFailed, map[string]any{"items": found})
		return
	}
	for _, set := range t.SetKeys {
		if strings.HasPrefix(set.Key, "op/") || strings.HasPrefix(set.Key, "servers/") {
			rw.WriteHeader(http.StatusForbidden)
			return
		}
		if set.Lease != 0 && s.leases[set.Lease] == nil {
			rw.WriteHeader(http.StatusNotFound)
			return
		}
	}
	for _, set := range t.SetKeys {
		s.put(set.Key, set.Value, set.Lease)
	}
	for _, key := range t.Remove {
		s.remove(key)
	}
	reply(rw, http.StatusOK, map[string]any{"revision": s.revision})
}

func (s *store) grant(rw http.ResponseWriter, r *http.Request) {
	var q struct{ TTLMs int64 }
	if json.NewDecoder(r.Body).Decode(&q) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	ttl := time.Duration(min(max(q.TTLMs, 1000), 600_000)) * time.Millisecond
	s.mu.Lock()
	defer s.mu.Unlock()
	s.newest++
	s.leases[s.newest] = &storeLease{ttl, time.Now().Add(ttl)}
	reply(rw, http.StatusOK, map[string]any{"lease": s.newest, "ttlMs": ttl.Milliseconds()})
}

func (s *store) keep(rw http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		rw.WriteHeader(http.StatusNotFound)
		return
	}
	l.ends = time.Now().Add(l.ttl)
	reply(rw, http.StatusOK, map[string]any{"ttlMs": l.ttl.Milliseconds()})
}

func (s *store) endLease(rw http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drop(id)
	reply(rw, http.StatusOK, map[string]any{})
}

// drop ends a lease and removes its keys. s.mu is held.
func (s *store) drop(id uint64) {
	delete(s.leases, id)
	for key, i := range s.items {
		if i.Lease == id && id != 0 {
			s.remove(key)
		}
	}
}

func (s *store) expire() {
	for now := range time.Tick(100 * time.Millisecond) {
		s.mu.Lock()
		for id, l := range s.leases {
			if now.After(l.ends) {
				s.drop(id)
			}
		}
		s.mu.Unlock()
	}
}
