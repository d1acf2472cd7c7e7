// Package evacuation keeps which failure domains are evacuated: no task may start at a
// worker of one until its evacuation is withdrawn. The state comes from the store and is
// passed between processes in any order; every process that has seen the same reports
// holds the same state, as long as no more than MaxDomains domains are named.
//
// The package does no I/O and reads no clock. A State is not safe for concurrent use.
package evacuation

import (
	"cmp"
	"maps"
	"slices"
	"unicode/utf8"

	"github.com/joomcode/errorx"
)

const (
	// MaxDomains is the largest number of domains that a State holds.
	MaxDomains = 64
	// MaxName is the largest length of a domain's name, in bytes.
	MaxName = 200
	// maxVersion is the largest store version that is accepted. Larger numbers are not exact
	// in JSON, and one from a faulty sender would outlast every later change.
	maxVersion = 1 << 53
)

var errorNamespace = errorx.NewNamespace("evacuation")

var (
	// ErrInvalid is the type of errors of values that no store can have.
	ErrInvalid = errorNamespace.NewType("invalid")
	// ErrFull is the type of errors of domains beyond MaxDomains.
	ErrFull = errorNamespace.NewType("full")
)

// Domain is the state of one failure domain at a store version.
type Domain struct {
	Name      string
	Evacuated bool
	Version   uint64
}

// Validate returns ErrInvalid for a state that cannot come from the store.
func (d Domain) Validate() error {
	switch {
	case d.Name == "" || len(d.Name) > MaxName || !utf8.ValidString(d.Name):
		return ErrInvalid.New("the name of a failure domain has %d bytes or is not UTF-8", len(d.Name))
	case d.Version == 0 || d.Version > maxVersion:
		return ErrInvalid.New("version %d is out of range", d.Version)
	}
	return nil
}

// Report is what one process tells another, or what the store lists.
type Report struct {
	Domains []Domain
	// ListedAt is a store version: every domain that was evacuated then is among Domains, in
	// that state or a newer one. Zero means that the report is not known to be complete.
	ListedAt uint64
}

// Empty reports whether the report tells nothing.
func (r Report) Empty() bool { return len(r.Domains) == 0 && r.ListedAt == 0 }

// Change is a newer state of a domain. Flipped is set if it changed whether the domain is
// evacuated.
type Change struct {
	Domain
	Flipped bool
}

// Rejection is a domain of a report that was not applied.
type Rejection struct {
	Domain Domain
	Err    error
}

// State is what one process knows of all failure domains. The zero value knows nothing.
type State struct {
	domains  map[string]Domain
	listedAt uint64
	// overflowed is set while a domain has found no place; the state is then not known to be
	// complete at any version.
	overflowed bool
	// reported holds the latest rejected version of each rejected name, so that a value that
	// stays in the store or in a peer's reports is returned once.
	reported map[string]uint64
}

// Merge applies a report. It returns the newer states, which other processes may lack, and
// the domains that were not applied, each version of them once.
func (s *State) Merge(r Report) (changed []Change, rejected []Rejection) {
	complete := r.ListedAt <= maxVersion
	// A domain that the report names as not evacuated may have been evacuated again and
	// withdrawn since, up to ListedAt.
	evacuated := make(map[string]bool, len(r.Domains))
	for _, d := range r.Domains {
		evacuated[d.Name] = evacuated[d.Name] || d.Evacuated
		if r.ListedAt < s.listedAt && s.withdrawnBefore(d) {
			continue
		}
		before := s.domains[d.Name].Evacuated
		applied, err := s.apply(d)
		switch {
		case err != nil:
			// What no store can have is never in force, so that the rest is complete.
			complete = complete && !errorx.IsOfType(err, ErrFull)
			if s.firstRejection(d) {
				rejected = append(rejected, Rejection{d, err})
			}
		case applied:
			changed = append(changed, Change{d, before != d.Evacuated})
		}
	}
	if r.ListedAt == 0 || !complete {
		return changed, rejected
	}
	for _, d := range s.sorted() {
		if d.Evacuated && d.Version < r.ListedAt && !evacuated[d.Name] {
			d.Evacuated, d.Version = false, r.ListedAt
			s.domains[d.Name] = d
			changed = append(changed, Change{d, true})
		}
	}
	if r.ListedAt >= s.listedAt {
		s.listedAt, s.overflowed = r.ListedAt, false
	}
	return changed, rejected
}

// apply stores the state of a domain if it is newer than the known one, and reports whether
// it is.
func (s *State) apply(d Domain) (bool, error) {
	if err := d.Validate(); err != nil {
		return false, err
	}
	known, ok := s.domains[d.Name]
	if ok && known.Version >= d.Version {
		return false, nil
	}
	if !ok && len(s.domains) >= MaxDomains && !s.makeRoom(d) {
		if !d.Evacuated {
			return false, nil
		}
		s.overflowed = true
		return false, ErrFull.New("%d failure domains are evacuated already", MaxDomains)
	}
	if s.domains == nil {
		s.domains = make(map[string]Domain)
	}
	s.domains[d.Name] = d
	return true, nil
}

// withdrawnBefore reports whether an evacuation is not known to be in force although the state
// is complete at its version or a later one: it was withdrawn before this process learned of it.
func (s *State) withdrawnBefore(d Domain) bool {
	return !s.domains[d.Name].Evacuated && d.Evacuated && d.Version <= s.listedAt && !s.overflowed
}

// makeRoom drops the oldest withdrawn evacuation if the new state is worth more: it is an
// evacuation, or a newer withdrawal. An evacuated domain is never dropped.
func (s *State) makeRoom(d Domain) bool {
	var oldest Domain
	for _, o := range s.domains {
		if !o.Evacuated && (oldest.Name == "" || cmp.Or(cmp.Compare(o.Version, oldest.Version), cmp.Compare(o.Name, oldest.Name)) < 0) {
			oldest = o
		}
	}
	if oldest.Name == "" || !d.Evacuated && d.Version <= oldest.Version {
		return false
	}
	delete(s.domains, oldest.Name)
	return true
}

// firstRejection records that the state of a domain was not applied, and reports whether
// that is new.
func (s *State) firstRejection(d Domain) bool {
	name := d.Name[:min(len(d.Name), MaxName)]
	if version, ok := s.reported[name]; ok && version == d.Version {
		return false
	}
	if s.reported == nil || len(s.reported) >= MaxDomains {
		s.reported = make(map[string]uint64)
	}
	s.reported[name] = d.Version
	return true
}

// Evacuated reports whether no task may start in the failure domain.
func (s *State) Evacuated(domain string) bool { return s.domains[domain].Evacuated }

// Get returns the state of a domain; its version is zero if the domain was never named.
func (s *State) Get(domain string) Domain { return s.domains[domain] }

// InForce returns the evacuated domains, ordered by name.
func (s *State) InForce() []Domain {
	return slices.DeleteFunc(s.sorted(), func(d Domain) bool { return !d.Evacuated })
}

// Report returns what other processes need to reach this state.
func (s *State) Report() Report {
	r := Report{Domains: s.sorted(), ListedAt: s.listedAt}
	if s.overflowed {
		r.ListedAt = 0
	}
	return r
}

// Version returns the largest version at which the state of a domain was observed.
func (s *State) Version() uint64 {
	version := uint64(0)
	for _, d := range s.domains {
		version = max(version, d.Version)
	}
	return version
}

func (s *State) sorted() []Domain {
	if len(s.domains) == 0 {
		return nil
	}
	return slices.SortedFunc(maps.Values(s.domains), func(a, b Domain) int { return cmp.Compare(a.Name, b.Name) })
}
