package keys

import "time"

const (
	// pageSize is the number of serial numbers that a page covers.
	pageSize  = 4096
	pageWords = pageSize / 64
)

// serials issues serial numbers and records which of them are used. It needs at most
// two bits per number: 20,000 keyed starts a second over 12 entries for an hour are
// 6 million numbers per entry, or 1.5 MB.
type serials struct {
	// firstPage is the number of the oldest page in pages.
	firstPage uint64
	pages     []*page
	// next is the serial number to issue next.
	next uint64
}

// page records the use of pageSize consecutive numbers.
type page struct {
	used [pageWords]uint64
	// uncertain marks used numbers whose request may have run. It is allocated when
	// the first number is marked.
	uncertain  *[pageWords]uint64
	lastIssued time.Time
}

// issue returns the next serial number.
func (s *serials) issue(now time.Time) uint64 {
	n := s.next
	s.next++
	if n/pageSize >= s.firstPage+uint64(len(s.pages)) {
		s.pages = append(s.pages, &page{})
	}
	s.pages[len(s.pages)-1].lastIssued = now
	return n
}

// dropBefore removes pages whose last number was issued before t, but never the newest
// page.
func (s *serials) dropBefore(t time.Time) {
	for len(s.pages) > 1 && s.pages[0].lastIssued.Before(t) {
		s.pages[0] = nil
		s.pages = s.pages[1:]
		s.firstPage++
	}
}

// tracks reports whether the number was issued and its use is still recorded.
func (s *serials) tracks(n uint64) bool { return n < s.next && n/pageSize >= s.firstPage }

func (s *serials) markUsed(n uint64, uncertain bool) {
	if !s.tracks(n) {
		return
	}
	p, word, bit := s.locate(n)
	p.used[word] |= bit
	if !uncertain {
		return
	}
	if p.uncertain == nil {
		p.uncertain = new([pageWords]uint64)
	}
	p.uncertain[word] |= bit
}

// state reports whether a tracked number is used, and if so, whether its request may
// have run rather than ran for certain.
func (s *serials) state(n uint64) (used, uncertain bool) {
	p, word, bit := s.locate(n)
	return p.used[word]&bit != 0, p.uncertain != nil && p.uncertain[word]&bit != 0
}

func (s *serials) locate(n uint64) (p *page, word int, bit uint64) {
	return s.pages[n/pageSize-s.firstPage], int(n % pageSize / 64), 1 << (n % 64)
}
