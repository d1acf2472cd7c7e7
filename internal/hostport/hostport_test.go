package hostport

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/joomcode/errorx"
)

// Guards against an address that no process can listen at, or that changes the rest of a
// URL, and against refusing a valid one.
func TestCheck(t *testing.T) {
	for address, valid := range map[string]bool{
		"10.128.0.9:8080": true, "127.0.0.1:1": true, "[::1]:65535": true, "worker-1.example:80": true,
		"": false, ":80": false, "10.0.0.9": false, "10.0.0.9:": false, "10.0.0.9:0": false, "10.0.0.9:65536": false, "10.0.0.9:99999": false,
		"10.0.0.9:-1": false, "10.0.0.9:http": false, "10.0.0.9:80/x": false, "u@10.0.0.9:80": false, "10.0.0.9:80?x": false, "10.0.0.9:80#x": false,
		"http://10.0.0.9:80": false, "10.0.0.9 :80": false, "10.0.0.9:80\x00": false, "::1:80": false, "%zz:80": false,
		strings.Repeat("a", 300) + ":80": false,
	} {
		err := Check(address)
		qt.Check(t, err == nil, qt.Equals, valid, qt.Commentf("%q: %v", address, err))
		qt.Check(t, err == nil || errorx.IsOfType(err, ErrInvalid), qt.IsTrue)
	}
}
