package permit

import (
	"testing"
	"time"
)

func TestMostInWindow(t *testing.T) {
	const ms = time.Millisecond
	for _, c := range []struct {
		times []time.Duration
		want  int
	}{
		{nil, 0},
		{[]time.Duration{5 * ms}, 1},
		{[]time.Duration{0, 10 * ms, 11 * ms}, 2},
		{[]time.Duration{30 * ms, 0, 25 * ms, 21 * ms, 3 * ms}, 3},
		{[]time.Duration{7 * ms, 7 * ms, 7 * ms}, 3},
	} {
		if got := MostInWindow(c.times, 10*ms); got != c.want {
			t.Errorf("%v: %d, want %d", c.times, got, c.want)
		}
	}
}
