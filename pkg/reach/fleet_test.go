package reach

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/umbercrank/umbercrank/pkg/types"
)

// fleetPlay is a play of a fleet of which some instances are partitioned from all upstreams.
type fleetPlay struct {
	instances, dataCentres int
	// cut reports whether an instance is partitioned.
	cut func(i int) bool
	// withoutPeers is the baseline: an instance has only its own path.
	withoutPeers bool
}

const (
	playUpstreams = 20
	// perInstance is the time between two requests at one instance.
	perInstance = 100 * time.Millisecond
	// playTime is the length of the partition, of which the part after stableTime counts.
	playTime   = 8 * time.Second
	stableTime = 3 * time.Second
)

// run returns the shares of requests that are served at partitioned and at other instances,
// and how many connections the busiest peer was asked for, as a multiple of the mean number of
// requests that reached an instance.
func (f fleetPlay) run(t *testing.T) (atCut, atOthers, busiest float64) {
	t.Helper()
	random := rand.New(rand.NewPCG(uint64(f.instances), 1))
	var peers []Peer
	paths, tables := make([]*Paths, f.instances), make([]*Peers, f.instances)
	for i := range f.instances {
		peers = append(peers, Peer{ID: types.InstanceID(fmt.Sprint("n", i)), Address: fmt.Sprint(i), DataCentre: types.DataCentre(fmt.Sprint("dc", i%f.dataCentres))})
		paths[i], tables[i] = NewPaths(), NewPeers()
	}
	// connect tries the own path of an instance and reports whether it is there.
	connect := func(i int, now time.Duration) bool {
		if f.cut(i) {
			upstream := types.UpstreamID(fmt.Sprint("u", random.IntN(playUpstreams)))
			paths[i].RecordFailure(now, Attempt{Target: "s", Upstream: upstream, Since: now}, playUpstreams)
			return false
		}
		paths[i].RecordConnection(now, "s")
		return true
	}
	asked := make([]int, f.instances)
	passOn := func(i int, now time.Duration) bool {
		except := make(map[types.InstanceID]bool)
		for range 3 {
			peer, ok := tables[i].Choose(now, "s", peers[i].DataCentre, peers, except, random.IntN)
			if !ok {
				return false
			}
			except[peer.ID] = true
			var j int
			_, _ = fmt.Sscan(peer.Address, &j)
			if j == i {
				continue
			}
			if now >= stableTime {
				asked[j]++
			}
			if paths[j].State("s") != Lost && connect(j, now) {
				tables[i].RecordReached(now, peer.ID, "s")
				return true
			}
			tables[i].RecordUnreached(now, peer.ID, "s")
		}
		return false
	}
	const attempts = 4
	var served, sent [2]int
	step := perInstance / time.Duration(f.instances)
	for now := time.Duration(0); now < playTime; now += step {
		i := random.IntN(f.instances)
		ok := false
		for n := 0; n < attempts && !ok; n++ {
			way, probe := paths[i].Choose(now, "s", true)
			if probe {
				paths[i].RecordProbe(now, "s", !f.cut(i))
			}
			if way != ThroughPeer {
				ok = connect(i, now)
			} else if !f.withoutPeers {
				ok = passOn(i, now)
			}
		}
		if now < stableTime {
			continue
		}
		kind := 0
		if f.cut(i) {
			kind = 1
		}
		sent[kind]++
		if ok {
			served[kind]++
		}
	}
	most := 0
	for _, count := range asked {
		most = max(most, count)
	}
	share := func(kind int) float64 { return float64(served[kind]) / float64(max(sent[kind], 1)) }
	return share(1), share(0), float64(most*f.instances) / float64(sent[0]+sent[1])
}

// TestPartitionIsHiddenFromCallers plays partitions of a few, most and all instances of a data
// centre in fleets of several sizes, beside a baseline in which each instance has only its
// own path.
func TestPartitionIsHiddenFromCallers(t *testing.T) {
	for _, size := range []struct{ instances, dataCentres int }{{9, 3}, {61, 3}, {350, 20}} {
		for name, cut := range map[string]func(i int) bool{
			"one":                         func(i int) bool { return i == 0 },
			"most of a data centre":       func(i int) bool { return i%size.dataCentres == 0 && i/size.dataCentres%4 != 3 },
			"a whole data centre":         func(i int) bool { return i%size.dataCentres == 0 },
			"two thirds of all instances": func(i int) bool { return i%3 != 0 },
		} {
			play := fleetPlay{instances: size.instances, dataCentres: size.dataCentres, cut: cut}
			atCut, atOthers, busiest := play.run(t)
			play.withoutPeers = true
			baseline, _, _ := play.run(t)
			t.Logf("%d instances, %s: served %.3f at partitioned instances, %.3f without peers, %.3f at the others; the busiest peer is asked for %.1f times the mean load", size.instances, name, atCut, baseline, atOthers, busiest)
			if atCut < 2.0/3*atOthers {
				t.Errorf("%d instances, %s: served %.3f at partitioned instances, %.3f at the others", size.instances, name, atCut, atOthers)
			}
		}
	}
}
