package agentd

import (
	"bytes"
	"net/netip"
	"net/url"
	"testing"
)

// Guards against accepting an announcement that exceeds the limits or names another
// machine.
func FuzzAnnouncement(f *testing.F) {
	for _, text := range []string{
		`{"service":"s","url":"http://127.0.0.1:1/t","slots":8,"connections":64,"running":["a"],"cores":1.5}`,
		`{"service":"s","url":"http://[::1]:1/t","slots":1}`, `{"service":"s","url":"http://8.8.8.8:1/","slots":1}`,
		`{}`, `null`, `{"slots":1e99}`, "\xff",
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		in, err := readAnnouncement(bytes.NewReader(text))
		if err != nil {
			return
		}
		u, err := url.Parse(in.URL)
		if err != nil {
			t.Fatal(err)
		}
		address, err := netip.ParseAddr(u.Hostname())
		if err != nil || !(address.IsLoopback() || isLocalAddress(address)) {
			t.Fatalf("accepted the URL %q", in.URL)
		}
		if in.Slots < 1 || in.Slots > maxSlots || in.Connections < 1 || in.Connections > maxConnections {
			t.Fatalf("accepted %d slots and %d connections", in.Slots, in.Connections)
		}
	})
}
