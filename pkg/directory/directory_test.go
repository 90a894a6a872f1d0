package directory

import (
	"fmt"
	"testing"

	"github.com/umbercrank/umbercrank/pkg/types"
)

// fixedView shows the same instances for ever.
type fixedView struct{ live []types.Instance }

func (v fixedView) Self() types.Instance   { return types.Instance{ID: "node-0", DataCentre: "lac"} }
func (v fixedView) Live() []types.Instance { return append([]types.Instance(nil), v.live...) }
func (v fixedView) Incarnation(id types.InstanceID) (types.Incarnation, bool) {
	return types.Incarnation(id + "-1"), true
}
func (v fixedView) Instance(types.Incarnation) (types.Instance, bool) { return types.Instance{}, false }
func (v fixedView) Changed() <-chan struct{}                          { return nil }
func (v fixedView) ReportFailure(types.InstanceID)                    {}

func TestCallersOfTheDataCentreComeFirstAndSpread(t *testing.T) {
	view := fixedView{}
	for i := range 8 {
		centre := types.DataCentre("lac")
		if i >= 4 {
			centre = "ariana"
		}
		view.live = append(view.live, types.Instance{ID: types.InstanceID(fmt.Sprintf("node-%d", i)), DataCentre: centre})
	}
	d := New(Options{View: view, Self: view.Self(), Incarnation: "node-0-1"})
	first := map[types.InstanceID]int{}
	for i := range 400 {
		answer := d.AnswerFor(fmt.Sprint("caller-", i))
		if answer.Addresses[0].DataCentre != "lac" {
			t.Fatalf("the first address is in %s", answer.Addresses[0].DataCentre)
		}
		if len(answer.Addresses) < 2 {
			t.Fatal("a caller needs a second address")
		}
		first[answer.Addresses[0].Instance]++
	}
	for id, n := range first {
		if n < 50 || n > 200 {
			t.Errorf("%s comes first for %d of 400 callers", id, n)
		}
	}
}
