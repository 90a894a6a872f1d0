package membership

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/umbercrank/umbercrank/pkg/types"
)

// BenchmarkExchange measures the processing of one exchange without updates, by
// the sender and the receiver, for several fleet sizes.
func BenchmarkExchange(b *testing.B) {
	for _, size := range []int{8, 72, 350} {
		b.Run(fmt.Sprintf("instances=%d", size), func(b *testing.B) {
			sender, receiver := fullView(size, 0), fullView(size, 1)
			b.ReportAllocs()
			b.ResetTimer()
			length := 0
			for range b.N {
				text, err := json.Marshal(sender.newMessage(nil))
				if err != nil {
					b.Fatal(err)
				}
				length = len(text)
				var request exchangeMessage
				if err := json.Unmarshal(text, &request); err != nil {
					b.Fatal(err)
				}
				receiver.mergeMessage(request)
				_ = receiver.respond(request)
			}
			b.ReportMetric(float64(length), "B/exchange")
		})
	}
}

// fullView returns the members of an instance that knows the state of all other
// instances and has no updates left to send.
func fullView(size, self int) *Members {
	m := New(Options{Self: testInstance(self), Incarnation: types.Incarnation(testInstance(self).ID + "/1")})
	now := time.Now()
	for i := range size {
		if i != self {
			m.table.merge(memberState{Instance: testInstance(i), Incarnation: types.Incarnation(testInstance(i).ID + "/1"), Version: 1, Health: alive}, now)
		}
	}
	for _, r := range m.table.records {
		r.sent = 1 << 20
	}
	return m
}
