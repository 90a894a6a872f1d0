package mesh

import (
	"testing"
	"time"

	"github.com/umbercrank/umbercrank/pkg/origin"
)

// TestStreamOriginsOutliveRestartInTurn guards against streams whose origin no instance knows any
// more once every instance has been replaced within the life of a stream.
func TestStreamOriginsOutliveRestartInTurn(t *testing.T) {
	const streams = 3 * maxCopiedStreams / 2
	for name, restart := range map[string]func(f *fleet, i int){
		"planned, replacements overlap": func(f *fleet, i int) {
			f.states[i].withLock(func(s *fakeState) { s.serving = false })
			time.Sleep(300 * time.Millisecond)
			f.stops[i]()
			f.network.RemoveNode(address(i))
			f.start(i)
		},
		"killed, back after a second": func(f *fleet, i int) {
			f.stops[i]()
			f.network.RemoveNode(address(i))
			time.Sleep(time.Second)
			f.start(i)
		},
	} {
		t.Run(name, func(t *testing.T) {
			runFleet(t, 3, func(t *testing.T, f *fleet) {
				time.Sleep(3 * time.Second)
				for key := range origin.Key(streams) {
					f.begin(int(key)%3, key)
					time.Sleep(time.Millisecond)
				}
				time.Sleep(500 * time.Millisecond)
				for i := range f.meshes {
					restart(f, i)
					time.Sleep(2 * time.Second)
				}
				for key := range origin.Key(streams) {
					f.wantStream(t, int(key)%3, key)
				}
			})
		})
	}
}

// TestLargeFleetStreamOriginsOutliveRestartOfHubs guards against the same in a fleet with hubs,
// where each hub holds only a part of the origins.
func TestLargeFleetStreamOriginsOutliveRestartOfHubs(t *testing.T) {
	runLargeFleet(t, func(t *testing.T, f *fleet) {
		time.Sleep(10 * time.Second)
		const streams = 60
		for key := range origin.Key(streams) {
			f.begin(20+int(key)%10, key)
			time.Sleep(time.Millisecond)
		}
		time.Sleep(time.Second)
		f.network.RemoveNode(address(20))
		for i := range 8 {
			f.stops[i]()
			f.network.RemoveNode(address(i))
			time.Sleep(500 * time.Millisecond)
			f.start(i)
			time.Sleep(4 * time.Second)
		}
		held := make(map[origin.Key]int)
		for i := range 8 {
			f.states[i].withLock(func(s *fakeState) {
				for key := range s.origins {
					held[key]++
				}
			})
		}
		lost, copies := 0, 0
		for key := range origin.Key(streams) {
			copies += held[key]
			if held[key] == 0 {
				lost++
			}
		}
		if lost > 0 {
			t.Errorf("%d of %d origins are held by no hub", lost, streams)
		}
		if limit := 2 * streamHolders * streams; copies > limit {
			t.Errorf("the hubs hold %d copies of %d origins, want %d at most", copies, streams, limit)
		}
	})
}

// TestStreamOriginsOfOtherSideOfPartitionAreCopied guards against the loss of the streams that began
// on one side of a partition, when the instances of that side end after it.
func TestStreamOriginsOfOtherSideOfPartitionAreCopied(t *testing.T) {
	runFleet(t, 4, func(t *testing.T, f *fleet) {
		time.Sleep(3 * time.Second)
		f.network.Partition([]string{address(0), address(1)}, []string{address(2), address(3)})
		time.Sleep(3 * time.Second)
		for key := range origin.Key(20) {
			f.begin(2+int(key)%2, key)
		}
		time.Sleep(time.Second)
		f.network.Heal()
		time.Sleep(3 * time.Second)
		f.network.RemoveNode(address(2))
		f.network.RemoveNode(address(3))
		for key := range origin.Key(20) {
			f.wantStream(t, int(key)%2, key)
		}
	})
}

// TestOldInstanceCopiesNothingFromRestartedOne guards against needless copies: all that a restarted
// peer holds has also been reported to an instance that has run for longer.
func TestOldInstanceCopiesNothingFromRestartedOne(t *testing.T) {
	runFleet(t, 5, func(t *testing.T, f *fleet) {
		time.Sleep(3 * time.Second)
		for key := range origin.Key(50) {
			f.begin(int(key)%5, key)
		}
		time.Sleep(time.Second)
		f.stops[4]()
		f.network.RemoveNode(address(4))
		time.Sleep(2 * time.Second)
		before := make([]int, 4)
		for i := range before {
			f.states[i].withLock(func(s *fakeState) { before[i] = s.adopted })
		}
		f.start(4)
		time.Sleep(3 * time.Second)
		for i := range before {
			f.states[i].withLock(func(s *fakeState) {
				if s.adopted != before[i] {
					t.Errorf("instance %d copied %d origins from a restarted one", i, s.adopted-before[i])
				}
			})
		}
		f.states[4].withLock(func(s *fakeState) {
			if s.adopted != 50 {
				t.Errorf("the restarted instance copied %d origins, want all 50 once", s.adopted)
			}
		})
	})
}
