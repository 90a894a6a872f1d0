package simulate

import "testing"

// TestLateWorkServesMoreCallers guards against late work that displaces requests that would be
// in time, or that leaves more callers without an answer, in a burst beyond the capacity.
func TestLateWorkServesMoreCallers(t *testing.T) {
	const seeds, load = 3, 1.3
	shares := func(design LateDesign) (inTime, unserved float64) {
		s, d := findSiteAndDay(t, "bookings", "waves")
		s.LateDesign = design
		for seed := range uint64(seeds) {
			all := simulate(s, d, load, Product, seed+1).metrics().All
			inTime += float64(all.InTime) / float64(all.Requests) / seeds
			unserved += unservedShare(all) / seeds
		}
		return inTime, unserved
	}
	inTime, unserved := shares(RefuseLate)
	lateInTime, lateUnserved := shares(LateWork)
	t.Logf("in time %.4f, with late work %.4f; unserved %.4f, with late work %.4f", inTime, lateInTime, unserved, lateUnserved)
	if lateInTime < inTime-0.01 || lateUnserved > unserved {
		t.Error("late work serves callers worse")
	}
}
