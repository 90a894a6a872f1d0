package reach

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/umbercrank/umbercrank/pkg/types"
	_ "github.com/umbercrank/umbercrank/test/fixedseed"
)

func failedAt(at time.Duration, upstream int, kind Failure) Attempt {
	return Attempt{Target: "s", Upstream: types.UpstreamID(fmt.Sprint("u", upstream)), Kind: kind, Since: at}
}

// lose records failures of the first upstreams of ten.
func lose(p *Paths, now time.Duration, kind Failure) {
	for i := range lossThreshold {
		p.RecordFailure(now, failedAt(now, i, kind), 10)
	}
}

func TestPathIsLostAfterFailuresOfSeveralUpstreams(t *testing.T) {
	for name, c := range map[string]struct {
		upstreams int
		play      func(p *Paths)
		lost      bool
	}{
		"three of ten":                {10, func(p *Paths) { lose(p, 1, NotConnected) }, true},
		"two, again and again":        {10, func(p *Paths) { failTwo(p); failTimes(p, attemptThreshold-2, 10) }, true},
		"one, again and again":        {10, func(p *Paths) { failTimes(p, 20, 10) }, false},
		"the only one":                {1, func(p *Paths) { p.RecordFailure(1, failedAt(1, 0, NotConnected), 1) }, true},
		"response over a new one":     {10, func(p *Paths) { failTwo(p); p.RecordResponse(3, "s", 2); failThird(p) }, false},
		"response over an old one":    {10, func(p *Paths) { failTwo(p); p.RecordResponse(3, "s", 0); failThird(p) }, true},
		"new connection":              {10, func(p *Paths) { failTwo(p); p.RecordConnection(3, "s"); failThird(p) }, false},
		"failures before a response":  {10, func(p *Paths) { p.RecordResponse(5, "s", 4); lose(p, 3, NoResponse) }, false},
		"failures too far apart":      {10, func(p *Paths) { failTwo(p); p.RecordFailure(2*evidenceTTL, failedAt(2*evidenceTTL, 2, NoResponse), 10) }, false},
		"silence despite connections": {10, func(p *Paths) { lose(p, 1, NoResponse); p.RecordConnection(2, "s") }, true},
	} {
		p := NewPaths()
		c.play(p)
		if got := p.State("s") == Lost; got != c.lost {
			t.Errorf("%s: the path is %s", name, p.State("s"))
		}
	}
}

func failTimes(p *Paths, times, upstreams int) {
	for range times {
		p.RecordFailure(1, failedAt(1, 0, NotConnected), upstreams)
	}
}

func failTwo(p *Paths) {
	p.RecordFailure(1, failedAt(1, 0, NotConnected), 10)
	p.RecordFailure(1, failedAt(1, 1, NotConnected), 10)
}

func failThird(p *Paths) { p.RecordFailure(4, failedAt(4, 2, NotConnected), 10) }

// TestOneRequestFindsOutThatPathIsBack checks the way back from a lost path.
func TestOneRequestFindsOutThatPathIsBack(t *testing.T) {
	p := NewPaths()
	lose(p, 1, NoResponse)
	now := 1 + minProbeInterval
	choose := func(repeatable bool, want Way, wantProbe bool) {
		t.Helper()
		if way, probe := p.Choose(now, "s", repeatable); way != want || probe != wantProbe {
			t.Errorf("at %v in state %s: way %v, probe %v, want %v, %v", now, p.State("s"), way, probe, want, wantProbe)
		}
	}
	choose(true, ThroughPeer, true)
	choose(true, ThroughPeer, false)
	p.RecordProbe(now, "s", true)
	choose(false, ThroughPeer, false)
	choose(true, OnTrial, false)
	choose(true, ThroughPeer, false)
	now++
	p.RecordFailure(now, failedAt(now, 0, NoResponse), 10)
	choose(true, ThroughPeer, false)
	now += 2 * minProbeInterval
	choose(true, ThroughPeer, true)
	p.RecordProbe(now, "s", true)
	choose(false, ThroughPeer, false)
	choose(true, OnTrial, false)
	p.RecordResponse(now+1, "s", now)
	choose(true, Directly, false)
	if p.State("s") != Direct {
		t.Errorf("after a response the path is %s", p.State("s"))
	}
}

// TestConnectionShowsThatRefusedPathIsBack checks that no request waits for a trial.
func TestConnectionShowsThatRefusedPathIsBack(t *testing.T) {
	p := NewPaths()
	lose(p, 1, NotConnected)
	now := 1 + minProbeInterval
	if way, probe := p.Choose(now, "s", true); way != ThroughPeer || !probe {
		t.Errorf("way %v, probe %v over a lost path", way, probe)
	}
	p.RecordProbe(now, "s", true)
	if way, _ := p.Choose(now, "s", false); way != Directly {
		t.Errorf("way %v after a connection", way)
	}
}

// TestRequestsThatRunOnceAreTriedLast checks a target whose requests may all run only once.
func TestRequestsThatRunOnceAreTriedLast(t *testing.T) {
	p := NewPaths()
	lose(p, 1, NoResponse)
	now := 1 + minProbeInterval
	p.RecordProbe(now, "s", true)
	if way, _ := p.Choose(now+onceTrialDelay-1, "s", false); way != ThroughPeer {
		t.Errorf("way %v before %v", way, onceTrialDelay)
	}
	if way, _ := p.Choose(now+onceTrialDelay, "s", false); way != OnTrial {
		t.Errorf("way %v after %v", way, onceTrialDelay)
	}
}

// TestPathsKeepInvariants plays random failures, responses and requests.
func TestPathsKeepInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := NewPaths()
		upstreams := rapid.IntRange(1, 12).Draw(t, "upstreams")
		var now time.Duration
		probing, onTrial := false, false
		failed := map[types.UpstreamID]bool{}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond
			before := p.State("s")
			switch rapid.IntRange(0, 6).Draw(t, "step") {
			case 0:
				a := failedAt(now, rapid.IntRange(0, upstreams-1).Draw(t, "upstream"), Failure(rapid.IntRange(0, 1).Draw(t, "kind")))
				failed[a.Upstream] = true
				if change, changed := p.RecordFailure(now, a, upstreams); changed && before == Direct && len(change.Failed) < min(2, upstreams) {
					t.Fatalf("lost after failures of %v", change.Failed)
				}
			case 1:
				p.RecordConnection(now, "s")
			case 2:
				p.RecordResponse(now, "s", now)
				clear(failed)
				if p.State("s") != Direct {
					t.Fatalf("%s after a response over a new connection", p.State("s"))
				}
			case 3:
				way, probe := p.Choose(now, "s", rapid.Bool().Draw(t, "repeatable"))
				if probe && probing && before == Lost {
					t.Fatal("two probes at a time")
				}
				probing = probing || probe
				if way == OnTrial && onTrial {
					t.Fatal("two requests on trial")
				}
				onTrial = onTrial || way == OnTrial
				if (way == Directly) != (before == Direct) {
					t.Fatalf("way %v in state %s", way, before)
				}
			case 4:
				p.RecordProbe(now, "s", rapid.Bool().Draw(t, "connected"))
				probing = false
			case 5:
				p.EndTrial("s")
				onTrial = false
			case 6:
				probe := p.BeginProbe("s")
				if probe && (probing || before != Lost) {
					t.Fatalf("another probe in state %s, one is under way: %v", before, probing)
				}
				probing = probing || probe
			}
			if after := p.State("s"); after != before {
				probing, onTrial = false, false
				if after == Lost && before == Direct && len(failed) < min(2, upstreams) {
					t.Fatalf("lost with failures of %v since the last response", failed)
				}
			}
		}
		// A path that has healed is direct again after one probe and one trial.
		p.EndTrial("s")
		for p.State("s") != Direct {
			now += maxProbeInterval + onceTrialDelay
			way, probe := p.Choose(now, "s", false)
			if probe || probing {
				p.RecordProbe(now, "s", true)
				probing = false
			}
			if way == OnTrial {
				p.RecordResponse(now, "s", now)
			} else if p.State("s") == Lost {
				t.Fatalf("lost %v after the last failure, and a probe has connected", maxProbeInterval)
			}
		}
	})
}

func peers(near, far int) []Peer {
	var list []Peer
	for i := range near + far {
		peer := Peer{ID: types.InstanceID(fmt.Sprint("n", i)), DataCentre: "a"}
		if i >= near {
			peer.DataCentre = "b"
		}
		list = append(list, peer)
	}
	return list
}

func TestPeersThatDoNotReachTargetAreAvoided(t *testing.T) {
	p, random := NewPeers(), rand.New(rand.NewPCG(1, 1))
	list := peers(2, 1)
	now := time.Second
	for _, want := range []types.DataCentre{"a", "a", "b"} {
		peer, ok := p.Choose(now, "s", "a", list, nil, random.IntN)
		if !ok || peer.DataCentre != want {
			t.Fatalf("chose %v, want one in %s", peer, want)
		}
		p.RecordUnreached(now, peer.ID, "s")
	}
	if peer, ok := p.Choose(now, "s", "a", list, nil, random.IntN); ok {
		t.Errorf("chose %v although no peer reaches the target", peer)
	}
	if _, ok := p.Choose(now, "other", "a", list, nil, random.IntN); !ok {
		t.Error("a peer that does not reach one target is not asked for another")
	}
	if _, ok := p.Choose(now+minAvoidance, "s", "a", list, nil, random.IntN); !ok {
		t.Errorf("no peer is asked again after %v", minAvoidance)
	}
	for range 10 {
		p.RecordUnreached(now, "n0", "s")
	}
	if p.avoided(now+maxAvoidance, "n0", "s") {
		t.Errorf("a peer is avoided for more than %v", maxAvoidance)
	}
}

// TestRequestsAreSpreadOverPeers lets peers carry requests that do not end.
func TestRequestsAreSpreadOverPeers(t *testing.T) {
	const near, requests = 5, 500
	p, random := NewPeers(), rand.New(rand.NewPCG(1, 1))
	list := peers(near, 5)
	for i := range requests {
		now := time.Duration(i) * time.Millisecond
		peer, ok := p.Choose(now, "s", "a", list, nil, random.IntN)
		if !ok {
			t.Fatal("no peer was chosen")
		}
		p.Begin(peer.ID)
		p.RecordReached(now, peer.ID, "s")
	}
	for id, carried := range p.carrying {
		if carried > 2*requests/near {
			t.Errorf("%s carries %d of %d requests", id, carried, requests)
		}
	}
	if len(p.carrying) != near {
		t.Errorf("%d peers carry requests, want the %d in the same data centre", len(p.carrying), near)
	}
}
