package agentd

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/poplarlever/poplarlever/internal/core/agent"
	"github.com/poplarlever/poplarlever/internal/core/msg"
	"github.com/poplarlever/poplarlever/internal/logevent"
)

// announceTimeout is the silence after which the endpoint counts as gone.
const announceTimeout = 3 * time.Second

// leasedAnnounceTimeout is the same for a leased worker, whose heartbeats come
// every 1.5 s and whose lease shows sooner when it is gone.
const leasedAnnounceTimeout = 6 * time.Second

// announcer serves the endpoint's side of the agent.
type announcer struct {
	loop *loop
	log  *zap.Logger
	// timeout is the silence after which the endpoint counts as gone.
	timeout time.Duration

	mu   sync.Mutex
	last time.Time
	// known is set once an endpoint that takes tasks has announced itself.
	known bool
	gone  bool
	// join is the latest join that was announced.
	join uint64
}

func (a *announcer) announce(w http.ResponseWriter, r *http.Request) {
	in, err := readAnnouncement(http.MaxBytesReader(w, r.Body, maxAnnouncement))
	if err != nil {
		logevent.AnnouncementRefused.Log(a.log, zap.Error(err))
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	a.heard(in)
	a.loop.do(func(now time.Time) {
		a.loop.endpoint.url.Store(in.URL)
		a.loop.core.Step(now, agent.EndpointAnnounced{
			Service: in.Service, Slots: in.Slots, Connections: in.Connections,
			Size: msg.Size{Cores: in.Cores, MemoryBytes: in.MemoryBytes, Accelerators: in.Accelerators},
			Join: in.Join, Number: in.Number, Leaving: in.Leaving, Running: in.Running,
		})
	})
	w.WriteHeader(http.StatusNoContent)
}

// Departure is the body of POST /v1/leave; it may be missing. Join is the one
// that ends, so that a late request does not end a later one.
type Departure struct {
	Join uint64 `json:"join,omitempty"`
}

func (a *announcer) leave(w http.ResponseWriter, r *http.Request) {
	var in Departure
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxLeave))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&in); err != nil && !errors.Is(err, io.EOF) {
		http.Error(w, "malformed departure: "+err.Error(), http.StatusBadRequest)
		return
	}
	if a.ends(in) {
		a.loop.step(agent.EndpointLeaving{Join: in.Join})
		logevent.EndpointLeft.Log(a.log)
	}
	w.WriteHeader(http.StatusNoContent)
}

// ends tells whether a departure is about the present join. A late one must
// not stop the watch for silence of a later join.
func (a *announcer) ends(in Departure) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if in.Join != 0 && in.Join < a.join {
		return false
	}
	a.gone = true
	return true
}

func (a *announcer) heard(in Announcement) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.join, a.last = max(a.join, in.Join), time.Now()
	if in.Leaving || in.Join < a.join {
		return
	}
	if !a.known || a.gone {
		logevent.EndpointJoined.Log(a.log, zap.String("service", in.Service))
	}
	a.known, a.gone = true, false
}

// checkSilence reports an endpoint that has stopped announcing itself.
func (a *announcer) checkSilence() {
	a.mu.Lock()
	silent := !a.last.IsZero() && !a.gone && time.Since(a.last) > a.timeout
	if silent {
		a.gone = true
	}
	a.mu.Unlock()
	if silent {
		a.loop.step(agent.EndpointLost{})
		logevent.EndpointSilent.Log(a.log)
	}
}
