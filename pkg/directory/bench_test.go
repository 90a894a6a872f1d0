package directory

import (
	"fmt"
	"testing"

	"github.com/umbercrank/umbercrank/pkg/types"
)

// BenchmarkAnswer measures one answer for several fleet sizes.
func BenchmarkAnswer(b *testing.B) {
	for _, size := range []int{8, 72, 350} {
		b.Run(fmt.Sprintf("instances=%d", size), func(b *testing.B) {
			centres := make([]types.DataCentre, size)
			for i := range centres {
				centres[i] = types.DataCentre(fmt.Sprint("centre-", i%20))
			}
			d := newTestDirectory(testInstances(centres...))
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				d.Answer()
			}
		})
	}
}
