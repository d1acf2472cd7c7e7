package store

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/poplarlever/poplarlever/internal/store"
)

// maxRequestBody is the largest request body, in bytes: a value in base64 and its
// key.
const maxRequestBody = 2 * store.MaxValue

type callFunc func(*http.Request, store.Request) (store.Response, error)

// Handler returns a handler for the store's calls and, below /control/, for its
// faults and counts.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	for path, c := range s.calls() {
		mux.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) { serveCall(w, r, c) })
	}
	mux.HandleFunc("GET /control/faults", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Faults()) })
	mux.HandleFunc("PUT /control/faults", s.putFaults)
	mux.HandleFunc("POST /control/lapse-leases", func(http.ResponseWriter, *http.Request) { s.LapseLeases() })
	mux.HandleFunc("GET /control/counts", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Counts()) })
	return mux
}

func (s *Store) putFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
}

func (s *Store) calls() map[string]callFunc {
	return map[string]callFunc{
		store.PathGet: func(r *http.Request, q store.Request) (store.Response, error) {
			e, err := s.Get(r.Context(), q.Key)
			return store.Response{Entries: []store.Entry{e}}, err
		},
		store.PathList: func(r *http.Request, q store.Request) (store.Response, error) {
			l, err := s.List(r.Context(), q.Prefix)
			return store.Response{Version: l.Version, Entries: l.Entries}, err
		},
		store.PathListVersions: func(r *http.Request, q store.Request) (store.Response, error) {
			l, err := s.ListVersions(r.Context(), q.Prefix)
			return store.Response{Version: l.Version, Entries: l.Entries}, err
		},
		store.PathSwap: func(r *http.Request, q store.Request) (store.Response, error) {
			v, err := s.CompareAndSwap(r.Context(), q.Key, q.Version, q.Value, q.Lease)
			return store.Response{Version: v}, err
		},
		store.PathDelete: func(r *http.Request, q store.Request) (store.Response, error) {
			return store.Response{}, s.Delete(r.Context(), q.Key, q.Version)
		},
		store.PathGrant: func(r *http.Request, q store.Request) (store.Response, error) {
			id, err := s.Grant(r.Context(), time.Duration(q.TTLMillis)*time.Millisecond)
			return store.Response{Lease: id}, err
		},
		store.PathKeepAlive: func(r *http.Request, q store.Request) (store.Response, error) {
			return store.Response{}, s.KeepAlive(r.Context(), q.Lease)
		},
		store.PathRevoke: func(r *http.Request, q store.Request) (store.Response, error) {
			return store.Response{}, s.Revoke(r.Context(), q.Lease)
		},
		store.PathWatch: func(r *http.Request, q store.Request) (store.Response, error) {
			c, err := s.Watch(r.Context(), q.Prefix, q.Version)
			return store.WatchResponse(c), err
		},
	}
}

func serveCall(w http.ResponseWriter, r *http.Request, c callFunc) {
	var req store.Request
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBody)).Decode(&req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	resp, err := c(r, req)
	switch {
	case err == nil:
		writeJSON(w, resp)
	case store.IsOutcomeUnknown(err):
		// Aborts the connection, so that the client gets no answer.
		panic(http.ErrAbortHandler)
	default:
		http.Error(w, err.Error(), statusOf(err))
	}
}

func statusOf(err error) int {
	switch {
	case store.IsNotFound(err):
		return http.StatusNotFound
	case store.IsConflict(err):
		return http.StatusConflict
	case store.IsUnavailable(err):
		return http.StatusServiceUnavailable
	}
	return http.StatusRequestEntityTooLarge
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
