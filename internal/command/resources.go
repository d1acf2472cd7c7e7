package command

import (
	"syscall"

	"github.com/poplarlever/poplarlever/internal/httpserver"
)

// newGuard returns the bounds of what the peers of the process can make it hold. Without a
// setting, the limit of descriptors is that of the system.
func newGuard(memory, descriptors int) *httpserver.Guard {
	var limit syscall.Rlimit
	if descriptors == 0 && syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) == nil {
		descriptors = int(min(limit.Cur, maxDescriptors))
	}
	return httpserver.NewGuard(httpserver.Resources{Memory: int64(memory), Descriptors: descriptors})
}

// maxDescriptors stands for a limit of the system that is none.
const maxDescriptors = 1 << 24
