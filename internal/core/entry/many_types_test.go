package entry_test

import (
	"fmt"
	"testing"

	"github.com/poplarlever/poplarlever/internal/core/entry"
	"github.com/poplarlever/poplarlever/internal/core/msg"
)

// BenchmarkJobAmongManyTypes measures one job of a patient type, from its submission to its
// end, in services with few and with many job types.
func BenchmarkJobAmongManyTypes(b *testing.B) {
	for _, types := range []int{3, 300, 20_000} {
		b.Run(fmt.Sprint(types), func(b *testing.B) {
			f := leasedFixture(&testing.T{})
			p := leasedPolicy()
			p.Revision++
			for i := range types {
				p.Services["s"].JobTypes[fmt.Sprintf("type-%d", i)] = entry.JobTypePolicy{MaxAttempts: 2, Priority: 1}
			}
			f.step(entry.SetPolicy{Policy: p})
			w := f.linkLeased("w1", 32)
			for b.Loop() {
				f.submitSized("patient", 3, 1)
				for _, d := range f.dispatched()[w.link] {
					w.end(d, msg.ResultOK)
				}
				f.out = nil
			}
		})
	}
}
