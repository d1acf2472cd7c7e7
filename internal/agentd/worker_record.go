package agentd

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"reflect"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/poplarlever/poplarlever/internal/clock"
	"github.com/poplarlever/poplarlever/internal/logevent"
	"github.com/poplarlever/poplarlever/internal/store"
)

// An agent whose process was restarted learns of its leased worker from the worker's next
// announcement, which may take longer than most callers wait. The record in the store lets
// it call the worker at once. The record proves nothing: each call names the instance, and
// no task starts before the worker has answered as that instance.

// workersPrefix is the prefix of the records' keys; a key ends with the worker's name. It
// lies outside the keys that every entry watches.
const workersPrefix = "poplarlever-workers/"

const (
	// recordTimeout bounds a call to the store for the record.
	recordTimeout = time.Second
	// recordRetryMin and recordRetryMax bound the random pause before a failed write is
	// repeated.
	recordRetryMin = 500 * time.Millisecond
	recordRetryMax = 2 * time.Second
)

// recordKeeper keeps the latest announcement of a leased worker in the store. It is safe
// for concurrent use.
type recordKeeper struct {
	store store.Store
	key   string
	// service is the service that the worker has to belong to.
	service string
	log     *zap.Logger

	mu sync.Mutex
	// wanted is the announcement to be stored; its zero value stands for none.
	wanted WorkerAnnouncement
	// version is the version of the record that this process has read at its start or written
	// last. What the worker has said since replaces it, whatever its start time and number are.
	version uint64
	// sent is the announcement in the latest write, whose answer may have been lost.
	sent    WorkerAnnouncement
	changed chan struct{}
}

func newRecordKeeper(s store.Store, worker, service string, log *zap.Logger) *recordKeeper {
	return &recordKeeper{store: s, key: workersPrefix + worker, service: service, log: log, changed: make(chan struct{}, 1)}
}

// announced stores the announcement of an instance as which the worker has answered, if it
// says more than the one before.
func (k *recordKeeper) announced(a WorkerAnnouncement) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if a.sameRecord(k.wanted) || !a.replaces(k.wanted, true) {
		return
	}
	k.wanted = a
	select {
	case k.changed <- struct{}{}:
	default:
	}
}

// sameRecord reports whether a record of one announcement says as much as one of the other:
// they differ in nothing but their numbers.
func (a WorkerAnnouncement) sameRecord(o WorkerAnnouncement) bool {
	a.Number, o.Number = 0, 0
	return reflect.DeepEqual(a, o)
}

// replaces reports whether the announcement replaces another one, which is older if known. A
// worker that is leaving stays so until its next instance.
func (a WorkerAnnouncement) replaces(o WorkerAnnouncement, older bool) bool {
	switch {
	case a.Instance == o.Instance && o.Leaving:
		return a.Leaving
	case older:
		return true
	case a.Instance.StartedAtMs != o.Instance.StartedAtMs:
		return a.Instance.StartedAtMs > o.Instance.StartedAtMs
	}
	return a.Leaving || a.Number >= o.Number
}

// left records that the worker's present instance is leaving.
func (k *recordKeeper) left(instanceID string) {
	k.mu.Lock()
	a := k.wanted
	k.mu.Unlock()
	if a.Instance.ID == instanceID {
		a.Leaving = true
		k.announced(a)
	}
}

// read returns the stored announcement and whether there is one that can be used.
func (k *recordKeeper) read(ctx context.Context) (WorkerAnnouncement, bool) {
	a, version, err := k.get(ctx)
	if err != nil {
		if !store.IsNotFound(err) {
			logevent.WorkerRecordFailed.Log(k.log, zap.String("key", k.key), zap.Error(err))
		}
		return a, false
	}
	k.mu.Lock()
	k.version = version
	k.mu.Unlock()
	return a, a.Address != "" && !a.Leaving
}

// get returns the stored announcement, which is empty if it is malformed or names another
// service, and the key's version.
func (k *recordKeeper) get(ctx context.Context) (WorkerAnnouncement, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	e, err := k.store.Get(ctx, k.key)
	if err != nil {
		return WorkerAnnouncement{}, 0, err
	}
	a, err := k.decode(e.Value)
	if err != nil {
		logevent.WorkerRecordFailed.Log(k.log, zap.String("key", k.key), zap.Error(err))
	}
	return a, e.Version, nil
}

// decode returns the announcement in a record, or an empty one and an error.
func (k *recordKeeper) decode(value []byte) (WorkerAnnouncement, error) {
	var a WorkerAnnouncement
	if err := json.Unmarshal(value, &a); err != nil {
		return WorkerAnnouncement{}, errMalformedAnnouncement.Wrap(err, "the record cannot be decoded")
	}
	if err := a.Validate(); err != nil {
		return WorkerAnnouncement{}, err
	}
	if a.Service != k.service {
		return WorkerAnnouncement{}, errMalformedAnnouncement.New("the record is of service %q", a.Service)
	}
	return a, nil
}

// run writes changed announcements until ctx ends.
func (k *recordKeeper) run(ctx context.Context) {
	for {
		select {
		case <-k.changed:
		case <-ctx.Done():
			return
		}
		for {
			err := k.write(ctx)
			if err == nil || ctx.Err() != nil {
				break
			}
			logevent.WorkerRecordFailed.Log(k.log, zap.String("key", k.key), zap.Error(err))
			clock.Sleep(ctx, recordRetryMin+rand.N(recordRetryMax-recordRetryMin))
		}
	}
}

// write stores the wanted announcement unless the store has a newer one: another agent
// process of the worker may have written it since this one started.
func (k *recordKeeper) write(ctx context.Context) error {
	k.mu.Lock()
	wanted, known, sent := k.wanted, k.version, k.sent
	k.mu.Unlock()
	stored, version, err := k.get(ctx)
	if err != nil && !store.IsNotFound(err) {
		return err
	}
	own := version == known || version != 0 && stored.sameRecord(sent)
	if wanted.sameRecord(stored) || !wanted.replaces(stored, own) {
		return nil
	}
	value, err := json.Marshal(wanted)
	if err != nil {
		return err
	}
	k.mu.Lock()
	k.sent = wanted
	k.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	version, err = k.store.CompareAndSwap(ctx, k.key, version, value, 0)
	if err == nil {
		k.mu.Lock()
		k.version = version
		k.mu.Unlock()
	}
	return err
}

// recallWorker calls the worker of the record, if the worker has not announced itself yet.
func (d *Daemon) recallWorker(ctx context.Context) {
	if a, ok := d.record.read(ctx); ok {
		d.loop.submit(func(now time.Time) {
			if !d.tracker.heard() {
				d.loop.leased.applyAnnouncement(now, a)
			}
		})
	}
}
