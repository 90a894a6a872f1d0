package membership

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/umbercrank/umbercrank/pkg/types"
)

// BenchmarkExchange measures the processing of one exchange without news, as
// sender and receiver, in views of several sizes.
func BenchmarkExchange(b *testing.B) {
	for _, size := range []int{8, 72, 350} {
		b.Run(fmt.Sprintf("instances=%d", size), func(b *testing.B) {
			sender, receiver := fullView(size, 0), fullView(size, 1)
			b.ReportAllocs()
			b.ResetTimer()
			length := 0
			for range b.N {
				text, err := json.Marshal(sender.message(nil))
				if err != nil {
					b.Fatal(err)
				}
				length = len(text)
				var question exchange
				if err := json.Unmarshal(text, &question); err != nil {
					b.Fatal(err)
				}
				receiver.take(question)
				_ = receiver.answer(question)
			}
			b.ReportMetric(float64(length), "B/exchange")
		})
	}
}

// fullView returns the members of an instance that knows all others and has
// passed on all it knows.
func fullView(size, self int) *Members {
	m := New(Options{Self: row(self), Incarnation: types.Incarnation(row(self).ID + "/1")})
	now := time.Now()
	for i := range size {
		if i != self {
			m.table.merge(fact{Row: row(i), Incarnation: types.Incarnation(row(i).ID + "/1"), Version: 1, Health: alive}, now)
		}
	}
	for _, r := range m.table.records {
		r.sent = 1 << 20
	}
	return m
}
