package rendezvous

import (
	"fmt"
	"testing"
)

// BenchmarkFirst measures the choice of a dispatcher for one key.
func BenchmarkFirst(b *testing.B) {
	for _, size := range []int{8, 72, 350} {
		b.Run(fmt.Sprintf("instances=%d", size), func(b *testing.B) {
			all := newInstances(size)
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				First("chat@lac", all, nil)
			}
		})
	}
}
