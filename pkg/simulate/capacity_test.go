package simulate

import (
	"fmt"
	"sync"
	"testing"
)

// meanGoodput returns the mean share of requests that are in time, over seeds.
func meanGoodput(site Site, day Day, load float64, source CapacitySource, seeds int) float64 {
	site.CapacitySource = source
	shares := make([]float64, seeds)
	var runs sync.WaitGroup
	for seed := range seeds {
		runs.Go(func() {
			all := simulate(site, day, load, Product, uint64(seed)+1).metrics().All
			shares[seed] = float64(all.InTime) / float64(all.Requests)
		})
	}
	runs.Wait()
	// The order of the sum is that of the seeds, so that equal runs have equal means.
	mean := 0.0
	for _, share := range shares {
		mean += share / float64(seeds)
	}
	return mean
}

// capacityDay returns a site of moderate size and the first half of a day with bursts.
func capacityDay(t *testing.T, siteName string) (Site, Day) {
	s, d := findSiteAndDay(t, siteName, "waves")
	if s.Engines > 30 {
		s.Engines, s.Entries = s.Engines/4, s.Entries/2
		for i := range s.Kinds {
			s.Kinds[i].Rate /= 4
			s.Kinds[i].Sessions /= 4
		}
	}
	d.Length = seconds(12)
	return s, d
}

const (
	capacityLoad  = 0.6
	capacitySeeds = 3
)

var capacitySites = []string{"callbacks-large", "vouchers"}

// TestLearnedCapacityServesCallers compares entries that learn the capacity of uneven engines
// with an oracle that knows it at any time, on the same requests. It guards against estimates
// that harm callers: the goodput is at most 0.05 less than that of the oracle.
func TestLearnedCapacityServesCallers(t *testing.T) {
	for name, change := range map[string]func(*Site, *Day){
		"third slower": func(s *Site, _ *Day) { s.Speeds = []float64{1, 1, 1.3} },
		"crowded":      func(s *Site, _ *Day) { s.CrowdedShare, s.CrowdedFactor = 0.5, 2 },
		"degrade":      func(_ *Site, d *Day) { d.Slowdowns = []Slowdown{{seconds(3), seconds(6), 0.2, 4}} },
		"all slow":     func(s *Site, d *Day) { d.Slowdowns = []Slowdown{{seconds(3), seconds(6), 1, 2}} },
		"entry restart": func(s *Site, d *Day) {
			s.Speeds = []float64{1, 1, 1.3}
			d.EntryRestarts = []EntryRestart{{seconds(4), seconds(1)}}
		},
	} {
		for _, siteName := range capacitySites {
			t.Run(fmt.Sprint(name, "/", siteName), func(t *testing.T) {
				s, d := capacityDay(t, siteName)
				change(&s, &d)
				learned, known := meanGoodput(s, d, capacityLoad, LearnedCapacity, capacitySeeds), meanGoodput(s, d, capacityLoad, KnownCapacity, capacitySeeds)
				if t.Logf("goodput %.3f learned, %.3f known", learned, known); learned < known-0.05 {
					t.Errorf("goodput is %.3f, with the true capacity %.3f", learned, known)
				}
			})
		}
	}
}

// TestLearnedCapacityOfUniformEnginesHarmsNobody guards against estimates that move requests
// between equal engines: goodput is no less than without.
func TestLearnedCapacityOfUniformEnginesHarmsNobody(t *testing.T) {
	for _, siteName := range capacitySites {
		s, d := capacityDay(t, siteName)
		before, learned := meanGoodput(s, d, capacityLoad, NoCapacity, capacitySeeds), meanGoodput(s, d, capacityLoad, LearnedCapacity, capacitySeeds)
		if learned < before {
			t.Errorf("%s: goodput is %.4f, without learning %.4f", siteName, learned, before)
		}
	}
}
