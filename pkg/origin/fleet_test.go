package origin

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/umbercrank/umbercrank/pkg/types"
	_ "github.com/umbercrank/umbercrank/test/fixedseed"
)

const (
	// stepTime is the time between two steps of a modelled fleet. Reads of the list, reports
	// and answers of peers take place once in a step, and reports arrive one step later.
	stepTime = 250 * time.Millisecond
	// gossipSteps is the number of steps between two reports of versions.
	gossipSteps = 4
	// leaveTime is how long an upstream serves after its entry has been removed from the list.
	leaveTime = 2 * stepTime
	// settleTime is the time that versions take to be known to instances that were cut off
	// from the store just before: within maxLag an instance takes its list for current.
	settleTime = maxLag + 2*stepTime
)

// modelInstance is an instance of a modelled fleet.
type modelInstance struct {
	table *Table
	// side is the part of the partitioned network in which the instance is.
	side     int
	hasStore bool
	read     *Span
	list     []Origin
	pending  []Stream
	// suspended reports whether the instance makes no step, and inbox has the reports that have
	// arrived and are not read yet.
	suspended bool
	inbox     []History
}

// modelStream is a stream that its caller may resume until the time expires.
type modelStream struct {
	id      types.RequestID
	origin  Origin
	expires time.Duration
}

// modelFleet is a set of instances with a list of upstreams in a store. It follows the rules of
// package gateway: a record of the instance itself, one of a peer, or the only version.
type modelFleet struct {
	t         *rapid.T
	now       time.Duration
	steps     int
	timeout   time.Duration
	instances []*modelInstance
	// versions are listed in the store, and removedAt has when each of the others was removed.
	versions  []types.SoftwareVersion
	removedAt map[types.SoftwareVersion]time.Duration
	cutAt     time.Duration
	streams   []*modelStream
	begun     int
	// resumed counts the resumed streams that went on, by how the origin was found.
	resumed map[string]int
}

func newModelFleet(t *rapid.T, instances int, timeout time.Duration) *modelFleet {
	f := &modelFleet{t: t, timeout: timeout, versions: []types.SoftwareVersion{"v0"}, removedAt: make(map[types.SoftwareVersion]time.Duration), resumed: make(map[string]int), cutAt: -time.Hour}
	for range instances {
		f.instances = append(f.instances, &modelInstance{hasStore: true})
	}
	for i := range f.instances {
		f.restart(i)
	}
	return f
}

func (f *modelFleet) restart(i int) {
	before := f.instances[i]
	f.instances[i] = &modelInstance{table: NewTable(f.now), side: before.side, hasStore: before.hasStore}
	f.instances[i].table.SetLifetime(f.now, 2*f.timeout)
}

func (f *modelFleet) listed() []Origin {
	list := make([]Origin, len(f.versions))
	for i, version := range f.versions {
		list[i] = of("s", version)
	}
	return list
}

func (f *modelFleet) peers(of *modelInstance) []*modelInstance {
	return slices.DeleteFunc(slices.Clone(f.instances), func(i *modelInstance) bool { return i == of || i.side != of.side || i.table == nil })
}

// step lets the instances read and report.
func (f *modelFleet) step() {
	f.steps++
	for _, i := range f.instances {
		if i.suspended {
			continue
		}
		for _, peer := range f.peers(i) {
			for _, stream := range i.pending {
				peer.table.Record(f.now, stream)
			}
		}
		i.pending = nil
	}
	type report struct {
		to      *modelInstance
		history History
	}
	var reports []report
	for index, i := range f.instances {
		if i.table != nil && !i.suspended && (f.steps+index)%gossipSteps == 0 {
			for _, peer := range f.peers(i) {
				reports = append(reports, report{peer, i.table.History(f.now)})
			}
		}
	}
	f.now += stepTime
	for _, r := range reports {
		r.to.inbox = append(r.to.inbox, r.history)
	}
	for _, i := range f.instances {
		if i.table != nil && !i.suspended {
			f.readInbox(i)
		}
	}
	for _, i := range f.instances {
		switch {
		case i.table == nil || i.suspended:
			continue
		case !i.hasStore:
			i.read = nil
			continue
		case i.read == nil:
			i.read = &Span{f.now, f.now}
		}
		i.read.To = f.now
		i.list = f.listed()
		i.table.Observe(f.now, i.list)
		i.table.Confirm(*i.read)
	}
}

// readInbox lets an instance read the reports that have arrived. Nobody has asked for them, so they
// confirm nothing, but their sender is asked for a longer history.
func (f *modelFleet) readInbox(i *modelInstance) {
	longer := false
	for _, history := range i.inbox {
		longer = longer || history.Complete != nil
		history.Complete = nil
		i.table.Merge(f.now, history)
	}
	i.inbox = nil
	if longer {
		f.ask(i)
	}
}

// ask lets an instance ask its peers for their history. It reports whether all have responded.
func (f *modelFleet) ask(i *modelInstance) (conclusive bool) {
	conclusive = true
	for _, peer := range f.peers(i) {
		if peer.suspended {
			conclusive = false
			continue
		}
		i.table.Merge(f.now, peer.table.History(f.now).Received(0))
	}
	return conclusive
}

// begin begins a stream at an instance, at an upstream that it knows and that still serves.
func (f *modelFleet) begin(i *modelInstance, pick int) {
	if i.table == nil || i.suspended || len(i.list) == 0 {
		return
	}
	origin := i.list[pick%len(i.list)]
	if !f.serves(origin.Version) {
		return
	}
	f.begun++
	stream := &modelStream{types.RequestID(fmt.Sprint(f.begun)), origin, f.now + f.timeout}
	f.streams = append(f.streams, stream)
	f.record(i, stream)
}

// serves reports whether an upstream of the version still serves.
func (f *modelFleet) serves(version types.SoftwareVersion) bool {
	removed, ok := f.removedAt[version]
	return !ok || f.now-removed <= leaveTime
}

func (f *modelFleet) record(i *modelInstance, stream *modelStream) {
	record := Stream{KeyOf(stream.id), stream.origin}
	i.table.Record(f.now, record)
	i.pending = append(i.pending, record)
}

// resume resumes a stream at an instance and checks the version at which it goes on. It
// reports whether it does.
func (f *modelFleet) resume(i *modelInstance, stream *modelStream, named bool) bool {
	if i.table == nil || i.suspended || f.now > stream.expires {
		return false
	}
	found, how := f.find(i, stream, named)
	if how == "" {
		return false
	}
	if found != stream.origin {
		f.t.Fatalf("at %v, a stream of %s goes on at %s (%s)", f.now, stream.origin.Version, found.Version, how)
	}
	if !f.serves(found.Version) {
		return false
	}
	f.resumed[how]++
	stream.expires = f.now + f.timeout
	if named {
		f.record(i, stream)
	}
	return true
}

func (f *modelFleet) find(i *modelInstance, stream *modelStream, named bool) (found Origin, how string) {
	for _, holder := range append([]*modelInstance{i}, f.peers(i)...) {
		if holder.suspended {
			continue
		}
		if origin, ok := holder.table.Lookup(KeyOf(stream.id)); ok && named {
			return origin, "record"
		}
	}
	if !f.ask(i) {
		return Origin{}, ""
	}
	if version, complete, ok := i.table.OnlyVersion(f.now, "s", i.table.Lifetime()); ok && complete {
		return of("s", version), "only version"
	}
	return Origin{}, ""
}

// disturb changes something of the fleet or the list.
func (f *modelFleet) disturb(kind string, which int) {
	i := f.instances[which%len(f.instances)]
	switch kind {
	case "restart":
		f.restart(which % len(f.instances))
	case "restart all":
		for i := range f.instances {
			f.restart(i)
		}
	case "restart half":
		for i := range f.instances {
			if i%2 == which%2 {
				f.restart(i)
			}
		}
	case "suspend":
		i.suspended, i.read = i.table != nil, nil
	case "resume":
		for _, i := range f.instances {
			i.suspended = false
		}
	case "stop":
		*i = modelInstance{side: i.side, hasStore: i.hasStore}
	case "stop all":
		for _, i := range f.instances {
			*i = modelInstance{side: i.side, hasStore: i.hasStore}
		}
	case "start":
		for n, i := range f.instances {
			if i.table == nil {
				f.restart(n)
			}
		}
	case "partition":
		i.side, f.cutAt = which%3, f.now
	case "heal":
		for _, i := range f.instances {
			i.side = 0
		}
	case "store lost":
		i.hasStore, f.cutAt = false, f.now
	case "store lost for all":
		for _, i := range f.instances {
			i.hasStore = false
		}
		f.cutAt = f.now
	case "store regained":
		for _, i := range f.instances {
			i.hasStore = true
		}
	case "version comes":
		version := types.SoftwareVersion(fmt.Sprint("v", which%3))
		// That a version comes while an instance takes an older list for current is not covered.
		if f.now-f.cutAt > settleTime && !slices.Contains(f.versions, version) {
			f.versions = append(f.versions, version)
			delete(f.removedAt, version)
		}
	case "version goes":
		if len(f.versions) > 0 {
			n := which % len(f.versions)
			f.removedAt[f.versions[n]] = f.now
			f.versions = slices.Delete(f.versions, n, n+1)
		}
	}
}

var disturbances = []string{"restart", "restart all", "restart half", "stop", "stop all", "start", "start", "partition", "heal", "store lost",
	"store lost for all", "store regained", "suspend", "resume", "version comes", "version comes", "version goes", "version goes"}

// TestNoStreamContinuesAtAnotherVersion guards against streams that go on at another version
// after restarts of any or all instances (also two within a lifetime), by instances that are
// cut off from the store or from their peers, and without the store at the start (faults 1, 2,
// 4 and 5).
func TestNoStreamContinuesAtAnotherVersion(t *testing.T) {
	total := make(map[string]int)
	rapid.Check(t, func(t *rapid.T) {
		f := newModelFleet(t, rapid.IntRange(1, 5).Draw(t, "instances"), time.Duration(rapid.IntRange(5, 40).Draw(t, "timeout"))*time.Second)
		likelihood := rapid.SampledFrom([]int{5, 20, 60, 200}).Draw(t, "steps between disturbances")
		for range rapid.SampledFrom([]int{50, 300, 800}).Draw(t, "steps") {
			if rapid.IntRange(1, likelihood).Draw(t, "disturbed") == likelihood {
				f.disturb(rapid.SampledFrom(disturbances).Draw(t, "disturbance"), rapid.IntRange(0, 11).Draw(t, "which"))
			}
			f.step()
			instance := f.instances[rapid.IntRange(0, len(f.instances)-1).Draw(t, "at")]
			f.begin(instance, rapid.IntRange(0, 2).Draw(t, "version"))
			for range min(2, len(f.streams)) {
				stream := f.streams[len(f.streams)-1-rapid.IntRange(0, min(len(f.streams), 100)-1).Draw(t, "stream")]
				f.resume(f.instances[rapid.IntRange(0, len(f.instances)-1).Draw(t, "resumed at")], stream, rapid.Bool().Draw(t, "named"))
			}
		}
		for how, count := range f.resumed {
			total[how] += count
		}
	})
	t.Logf("streams that went on: %v", total)
	if total["record"] == 0 || total["only version"] == 0 {
		t.Error("no stream has gone on by a record, or none by the only version")
	}
}

// TestResumedStreamsContinueAtUndisturbedInstances guards against a rule that refuses what
// undisturbed instances know: all streams with a record, and all while only one version is in
// use once a lifetime has passed.
func TestResumedStreamsContinueAtUndisturbedInstances(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newModelFleet(t, rapid.IntRange(1, 5).Draw(t, "instances"), time.Duration(rapid.IntRange(5, 40).Draw(t, "timeout"))*time.Second)
		restartedAt, oneRestartedAt := time.Duration(0), time.Duration(0)
		for range rapid.SampledFrom([]int{50, 300, 600}).Draw(t, "steps") {
			f.step()
			switch which := rapid.IntRange(0, 11).Draw(t, "which"); rapid.IntRange(0, 150).Draw(t, "event") {
			case 150:
				f.disturb("version comes", which)
			case 149:
				f.disturb("restart all", which)
				f.streams, restartedAt = nil, f.now
			case 148:
				// A restarted instance learns from its peers within two reports.
				if len(f.instances) > 1 && f.now-oneRestartedAt > 2*gossipSteps*stepTime {
					f.step()
					f.disturb("restart", which)
					oneRestartedAt = f.now
				}
			}
			f.step()
			for _, stream := range f.streams {
				if f.now <= stream.expires && !f.resume(f.instances[rapid.IntRange(0, len(f.instances)-1).Draw(t, "at")], stream, true) {
					t.Fatalf("at %v, a recorded stream of %s does not go on", f.now, stream.origin.Version)
				}
			}
			f.begin(f.instances[rapid.IntRange(0, len(f.instances)-1).Draw(t, "begins at")], rapid.IntRange(0, 2).Draw(t, "version"))
			f.streams = f.streams[max(0, len(f.streams)-10):]
			if lost := (&modelStream{"lost", of("s", "v0"), f.now}); len(f.versions) == 1 && f.now-restartedAt > max(MinLifetime, 2*f.timeout)+settleTime {
				if !f.resume(f.instances[0], lost, false) {
					t.Fatalf("at %v, a stream without a record does not go on at the only version", f.now)
				}
			}
		}
	})
}
