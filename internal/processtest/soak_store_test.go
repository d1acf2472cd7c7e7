package processtest

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"time"

	fakestore "github.com/poplarlever/poplarlever/internal/fake/store"
	"github.com/poplarlever/poplarlever/internal/store"
)

// soakConfiguration is the operators' configuration: one route whose tasks may fail four
// times.
const soakConfiguration = `{"version":3,"routes":[{"name":"soak","host":"` + soakHost + `","prefix":"` + soakPrefix + `","service":"` + soakService +
	`","timeoutMs":1500,"targetDurationMs":60,"priority":1,"maxAttempts":4,"stretchFactor":1.6}],"services":[{"name":"` + soakService + `"}],"limits":{}}`

const (
	soakHost    = "soak.example"
	soakPrefix  = "/jobs/"
	soakService = "soak"
)

// platformStore serves the calls of the platform's store that entries and agents make,
// from a fake store.
type platformStore struct{ store.Store }

type platformItem struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Deleted  bool   `json:"deleted,omitempty"`
}

func items(entries []store.Entry) []platformItem {
	out := []platformItem{}
	for _, e := range entries {
		out = append(out, platformItem{Key: e.Key, Value: e.Value, Revision: e.Version})
	}
	return out
}

// startPlatformStore starts a store with the configuration and returns its address.
func startPlatformStore(s *soak) string {
	fake := fakestore.New(fakestore.DefaultRates)
	_, err := fake.CompareAndSwap(context.Background(), "op/config", 0, []byte(soakConfiguration), 0)
	s.must(err)
	server := httptest.NewServer(&platformStore{fake})
	s.c.Cleanup(func() { server.CloseClientConnections(); server.Close() })
	return strings.TrimPrefix(server.URL, "http://")
}

func (p *platformStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	answer, err := p.answer(r)
	switch {
	case err == nil:
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(answer)
	case store.IsNotFound(err):
		w.WriteHeader(http.StatusNotFound)
	case store.IsConflict(err):
		w.WriteHeader(http.StatusPreconditionFailed)
	default:
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (p *platformStore) answer(r *http.Request) (any, error) {
	ctx, query := r.Context(), r.URL.Query()
	call, id, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	number := func(text string) uint64 { n, _ := strconv.ParseUint(text, 10, 64); return n }
	switch call {
	case "kv-key":
		e, err := p.Get(ctx, query.Get("key"))
		return platformItem{Key: e.Key, Value: e.Value, Revision: e.Version}, err
	case "kv-range":
		l, err := p.List(ctx, query.Get("prefix"))
		return map[string]any{"items": items(l.Entries), "truncated": false, "currentRev": l.Version}, err
	case "kv-watch":
		return p.watch(ctx, query.Get("prefix"), number(query.Get("after")), time.Duration(number(query.Get("waitMs")))*time.Millisecond)
	case "kv-txn":
		return p.write(r)
	case "kv-lease":
		var in struct{ TTLMs int64 }
		if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
			return nil, err
		}
		granted, err := p.Grant(ctx, time.Duration(in.TTLMs)*time.Millisecond)
		return map[string]any{"lease": granted, "ttlMs": in.TTLMs}, err
	case "kv-keep":
		return struct{}{}, p.KeepAlive(ctx, store.LeaseID(number(id)))
	case "kv-lease-end":
		return struct{}{}, p.Revoke(ctx, store.LeaseID(number(id)))
	}
	return nil, store.ErrNotFound.New("no call %q", call)
}

func (p *platformStore) watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (any, error) {
	waiting, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	changes, err := p.Watch(waiting, prefix, after)
	if waiting.Err() != nil {
		changes, err = store.Changes{Version: after}, nil
	}
	events := items(changes.Entries)
	for _, key := range changes.Deleted {
		events = append(events, platformItem{Key: key, Revision: changes.Version, Deleted: true})
	}
	return map[string]any{"events": events, "currentRev": changes.Version}, err
}

// write executes a transaction with one condition and one key, which is what the
// processes send.
func (p *platformStore) write(r *http.Request) (any, error) {
	var in struct {
		ExpectRev []platformItem
		SetKeys   []struct {
			Key   string
			Value []byte
			Lease store.LeaseID
		}
		Remove []string
	}
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		return nil, err
	}
	if len(in.SetKeys) == 0 {
		return struct{}{}, p.Delete(r.Context(), in.Remove[0], in.ExpectRev[0].Revision)
	}
	set := in.SetKeys[0]
	revision, err := p.CompareAndSwap(r.Context(), set.Key, in.ExpectRev[0].Revision, set.Value, set.Lease)
	return map[string]any{"revision": revision}, err
}
