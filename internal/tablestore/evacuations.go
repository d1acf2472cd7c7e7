package tablestore

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/poplarlever/poplarlever/internal/store"
)

// Evacuations writes the operators' requests to evacuate failure domains. Each method retries
// for a few seconds; store.ErrOutcomeUnknown means that the write may have taken effect, every
// other error that it has not.
type Evacuations struct {
	Store store.Store
	// Who is the operator's name for the others.
	Who string
}

// EvacuationRequest is one failure domain whose evacuation is requested.
type EvacuationRequest struct {
	Domain  string `json:"domain"`
	Version uint64 `json:"version"`
	// Who and When tell of the request; empty if its value does not say so.
	Who  string    `json:"who,omitempty"`
	When time.Time `json:"when,omitzero"`
}

// List returns the requests, ordered by domain.
func (e Evacuations) List(ctx context.Context) ([]EvacuationRequest, error) {
	requests := []EvacuationRequest{}
	err := retry(ctx, func() (bool, error) {
		listing, err := e.Store.List(ctx, EvacuationsPrefix)
		if err != nil {
			return false, err
		}
		for _, entry := range listing.Entries {
			var r EvacuationRequest
			// The presence of the key is the request, whatever its value.
			_ = json.Unmarshal(entry.Value, &r)
			r.Domain, r.Version = strings.TrimPrefix(entry.Key, EvacuationsPrefix), entry.Version
			requests = append(requests, r)
		}
		return true, nil
	})
	return requests, err
}

// Begin requests the evacuation of a failure domain. It reports whether there was no such
// request before.
func (e Evacuations) Begin(ctx context.Context, domain string) (began bool, err error) {
	value, err := json.Marshal(EvacuationRequest{Domain: domain, Who: e.Who, When: time.Now().UTC().Truncate(time.Millisecond)})
	if err != nil {
		return false, err
	}
	uncertain := false
	err = retry(ctx, func() (bool, error) {
		_, err := e.Store.CompareAndSwap(ctx, EvacuationsPrefix+domain, 0, value, 0)
		if store.IsConflict(err) {
			// The key exists, perhaps by an earlier try.
			began = uncertain
			return true, nil
		}
		began = err == nil
		uncertain = uncertain || store.IsOutcomeUnknown(err)
		return began, err
	})
	return began, err
}

// End withdraws the request. It reports whether there was one.
func (e Evacuations) End(ctx context.Context, domain string) (ended bool, err error) {
	key := EvacuationsPrefix + domain
	err = retry(ctx, func() (bool, error) {
		entry, err := e.Store.Get(ctx, key)
		if store.IsNotFound(err) {
			return true, nil
		}
		if err != nil {
			return false, err
		}
		ended = true
		err = e.Store.Delete(ctx, key, entry.Version)
		if store.IsNotFound(err) {
			return true, nil
		}
		return err == nil, err
	})
	return ended, err
}

// retry calls try until it is done, for a few seconds. If an outcome was unknown, it returns
// that rather than the error of a later try.
func retry(ctx context.Context, try func() (done bool, err error)) error {
	backoff := store.Backoff{Min: minBackoff, Max: maxBackoff}
	var unknown, last error
	for range maxTries {
		done, err := try()
		if done {
			return nil
		}
		last = err
		if store.IsOutcomeUnknown(err) {
			unknown = err
		}
		if !sleep(ctx, backoff.Next()) {
			break
		}
	}
	if unknown != nil {
		return unknown
	}
	return last
}
