package agentd

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/poplarlever/poplarlever/internal/core/agent"
	"github.com/poplarlever/poplarlever/internal/core/bodybudget"
	"github.com/poplarlever/poplarlever/internal/core/msg"
	"github.com/poplarlever/poplarlever/internal/httpserver"
	"github.com/poplarlever/poplarlever/internal/logevent"
)

// announceTimeout is the time without an announcement after which the endpoint
// counts as gone.
const announceTimeout = 3 * time.Second

// leasedAnnounceTimeout replaces announceTimeout for a leased worker. Its heartbeats
// arrive every 1.5 s, and the loss of its lease shows sooner that it is gone.
const leasedAnnounceTimeout = 6 * time.Second

// endpointTracker handles the announcements and leave requests of the endpoint and
// detects when it has fallen silent.
type endpointTracker struct {
	loop *loop
	log  *zap.Logger
	// timeout is the time without an announcement after which the endpoint counts
	// as gone.
	timeout time.Duration

	mu        sync.Mutex
	lastHeard time.Time
	// everJoined is set once an endpoint that accepts tasks has announced itself.
	everJoined bool
	gone       bool
	// latestJoin is the highest Join announced so far.
	latestJoin uint64
}

func (t *endpointTracker) handleAnnounce(w http.ResponseWriter, r *http.Request) {
	var in Announcement
	body := httpserver.OpenBody(w, r, maxAnnouncementBytes, 1)
	defer body.Close()
	err := body.ReadAll(func(content []byte) (err error) {
		in, err = readAnnouncement(bytes.NewReader(content))
		return err
	})
	if refuseBody(w, r, body) {
		t.loop.announcementRefused(err)
		return
	}
	if err != nil {
		t.loop.announcementRefused(err)
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	t.recordAnnouncement(in)
	t.loop.submit(func(now time.Time) {
		t.loop.endpoint.url.Store(in.URL)
		t.loop.core.Step(now, agent.EndpointAnnounced{
			Service: in.Service, Slots: in.Slots, Connections: in.Connections,
			Size: msg.Size{Cores: in.Cores, MemoryBytes: in.MemoryBytes, Accelerators: in.Accelerators},
			Join: in.Join, Number: in.Number, Leaving: in.Leaving, Running: in.Running,
		})
	})
	w.WriteHeader(http.StatusNoContent)
}

// refuseBody answers a request whose body was not taken and closes its connection. It returns
// false if the body was taken.
func refuseBody(w http.ResponseWriter, r *http.Request, body *httpserver.Body) bool {
	reason := body.Reason()
	if reason == 0 {
		return false
	}
	httpserver.CloseAfter(w, r)
	if reason == bodybudget.TooLarge {
		w.WriteHeader(http.StatusRequestEntityTooLarge)
	} else {
		httpserver.Unavailable(w)
	}
	return true
}

// Departure is the optional body of POST /v1/leave. Join identifies the join that
// ends, so that a late request does not end a newer one.
type Departure struct {
	Join uint64 `json:"join,omitempty"`
}

func (t *endpointTracker) handleLeave(w http.ResponseWriter, r *http.Request) {
	var in Departure
	body := httpserver.OpenBody(w, r, maxLeaveBytes, 1)
	defer body.Close()
	err := body.ReadAll(func(content []byte) error {
		decoder := json.NewDecoder(bytes.NewReader(content))
		decoder.DisallowUnknownFields()
		return decoder.Decode(&in)
	})
	if refuseBody(w, r, body) {
		return
	}
	if err != nil && !errors.Is(err, io.EOF) {
		http.Error(w, "malformed departure: "+err.Error(), http.StatusBadRequest)
		return
	}
	if t.recordLeave(in) {
		t.loop.submitInput(agent.EndpointLeaving{Join: in.Join})
		logevent.EndpointLeft.Log(t.log)
	}
	w.WriteHeader(http.StatusNoContent)
}

// recordLeave marks the endpoint as gone and returns true, unless the request is for
// an older join: a late one must not stop the silence detection of a newer join.
func (t *endpointTracker) recordLeave(in Departure) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if in.Join != 0 && in.Join < t.latestJoin {
		return false
	}
	t.gone = true
	return true
}

func (t *endpointTracker) recordAnnouncement(in Announcement) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.latestJoin, t.lastHeard = max(t.latestJoin, in.Join), time.Now()
	if in.Leaving || in.Join < t.latestJoin {
		return
	}
	if !t.everJoined || t.gone {
		logevent.EndpointJoined.Log(t.log, zap.String("service", in.Service))
	}
	t.everJoined, t.gone = true, false
}

// heard reports whether an endpoint has ever announced itself to this process.
func (t *endpointTracker) heard() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.lastHeard.IsZero()
}

// checkSilence tells the core when the endpoint has stopped announcing itself.
func (t *endpointTracker) checkSilence() {
	t.mu.Lock()
	silent := !t.lastHeard.IsZero() && !t.gone && time.Since(t.lastHeard) > t.timeout
	if silent {
		t.gone = true
	}
	t.mu.Unlock()
	if silent {
		t.loop.submitInput(agent.EndpointLost{})
		logevent.EndpointSilent.Log(t.log)
	}
}
