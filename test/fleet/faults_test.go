package fleet

import (
	"context"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/umbercrank/umbercrank/pkg/load"
	"github.com/umbercrank/umbercrank/pkg/standin/configuration"
	"github.com/umbercrank/umbercrank/pkg/standin/engine"
	"github.com/umbercrank/umbercrank/pkg/standin/service"
	"github.com/umbercrank/umbercrank/pkg/types"
)

const (
	// faultInterval is the time between two injected faults.
	faultInterval = 100 * time.Millisecond
	// faultDuration is how long faults are injected.
	faultDuration = 1500 * time.Millisecond
	// loadDuration is how long requests arrive. It is longer than faultDuration.
	loadDuration = 2 * time.Second
)

// injector injects faults that it draws from a seeded generator.
type injector struct {
	fleet  *fleet
	random *rand.Rand
	faults int
}

// run injects a fault at each interval until ctx ends, and then clears all faults.
func (i *injector) run(ctx context.Context) {
	ticker := time.NewTicker(faultInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			i.inject()
			i.faults++
		case <-ctx.Done():
			i.clear()
			return
		}
	}
}

// inject draws and injects one fault. At most one engine and one service are
// leaving at a time.
func (i *injector) inject() {
	engines, services := i.engines(), i.fleet.services
	one := 1
	switch i.random.IntN(7) {
	case 0:
		tokens := i.random.IntN(6)
		engines[i.random.IntN(len(engines))].ApplyFaults(engine.FaultsChange{BreakNext: &one, BreakAfterTokens: &tokens})
	case 1:
		factor := 1 + 3*i.random.Float64()
		engines[i.random.IntN(len(engines))].ApplyFaults(engine.FaultsChange{Straggle: &factor})
	case 2:
		leaving := i.random.IntN(2) == 0
		engines[0].ApplyFaults(engine.FaultsChange{Leaving: &leaving})
	case 3:
		services[i.random.IntN(len(services))].ApplyFaults(service.FaultsChange{ResetBefore: &one})
	case 4:
		services[i.random.IntN(len(services))].ApplyFaults(service.FaultsChange{ResetAfter: &one})
	case 5:
		leaving := i.random.IntN(2) == 0
		services[0].ApplyFaults(service.FaultsChange{Leaving: &leaving})
	case 6:
		i.fleet.platform.SetFaults(configuration.Faults{Down: i.random.IntN(2) == 0})
	}
}

// engines returns the engines sorted by name.
func (i *injector) engines() []*engine.Engine {
	var names []string
	for name := range i.fleet.engines {
		names = append(names, string(name))
	}
	slices.Sort(names)
	var engines []*engine.Engine
	for _, name := range names {
		engines = append(engines, i.fleet.engines[types.UpstreamID(name)])
	}
	return engines
}

func (i *injector) clear() {
	leaving, factor, none := false, 1.0, 0
	for _, e := range i.fleet.engines {
		e.ApplyFaults(engine.FaultsChange{Leaving: &leaving, Straggle: &factor, BreakNext: &none})
	}
	for _, s := range i.fleet.services {
		s.ApplyFaults(service.FaultsChange{Leaving: &leaving, ResetBefore: &none, ResetAfter: &none})
	}
	i.fleet.platform.SetFaults(configuration.Faults{})
}

// seed returns the value of the environment variable SEED, or 1 if it is not set.
func seed(t *testing.T) uint64 {
	t.Helper()
	text, found := os.LookupEnv("SEED")
	if !found {
		return 1
	}
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		t.Fatalf("SEED=%q is not an unsigned integer", text)
	}
	return n
}

// TestLoadWithFaultsHasNoViolations runs load while streams break, engines straggle
// and leave, service calls are reset before and after their execution, and the
// configuration service goes down and comes back.
func TestLoadWithFaultsHasNoViolations(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		f := startInBubble(t, size{instances: 3, engines: 3, services: 2, step: step})
		inject := &injector{fleet: f, random: rand.New(rand.NewPCG(seed(t), 3))}
		ctx, cancel := context.WithTimeout(t.Context(), faultDuration)
		defer cancel()
		var group sync.WaitGroup
		group.Go(func() { inject.run(ctx) })
		report := runLoad(t, f, loadDuration, seed(t))
		group.Wait()
		answered := 0
		for _, class := range report.Classes {
			answered += class.Results[load.Answered]
			t.Logf("class %s: %d offered, %v, codes %v", class.Class, class.Offered, class.Results, class.Codes)
		}
		t.Logf("%d faults injected", inject.faults)
		if report.Violations != 0 || report.Unchecked != "" {
			t.Errorf("violations %d %q, unchecked %q", report.Violations, report.Details, report.Unchecked)
		}
		if answered*2 < report.Offered {
			t.Errorf("%d of %d requests answered, want at least half", answered, report.Offered)
		}
	})
}
