package rendezvous

import (
	"fmt"
	"slices"
	"testing"

	"github.com/umbercrank/umbercrank/pkg/types"
)

func TestAmongFirstHoldsForAsManyInstancesAsAsked(t *testing.T) {
	for size := range 20 {
		var ids []types.InstanceID
		for i := range size {
			ids = append(ids, types.InstanceID(fmt.Sprint("n", i)))
		}
		for count := range 4 {
			among := 0
			for _, id := range ids {
				if AmongFirst("key", id, slices.Values(ids), count) {
					among++
				}
			}
			if among != min(count, size) {
				t.Errorf("%d of %d instances are among the first %d", among, size, count)
			}
		}
	}
}
