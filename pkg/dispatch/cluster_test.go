package dispatch

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/umbercrank/umbercrank/pkg/config"
	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/peer"
	"github.com/umbercrank/umbercrank/pkg/pool"
	"github.com/umbercrank/umbercrank/pkg/types"
	"github.com/umbercrank/umbercrank/test/fakes"
)

const testTarget types.TargetName = "chat"

var testPool = types.PoolID{Target: testTarget, DataCentre: "lac"}

// fakeView is a membership view controlled by the test.
type fakeView struct {
	mu       sync.Mutex
	self     types.Instance
	rows     map[types.InstanceID]types.Instance
	changed  chan struct{}
	failures int
}

func (v *fakeView) Self() types.Instance { return v.self }

func (v *fakeView) Live() []types.Instance {
	v.mu.Lock()
	defer v.mu.Unlock()
	var live []types.Instance
	for _, row := range v.rows {
		if row.State == types.InstanceLive {
			live = append(live, row)
		}
	}
	slices.SortFunc(live, func(a, b types.Instance) int { return cmp.Compare(a.ID, b.ID) })
	return live
}

func (v *fakeView) Incarnation(id types.InstanceID) (types.Incarnation, bool) {
	return types.Incarnation(id), true
}

func (v *fakeView) Instance(incarnation types.Incarnation) (types.Instance, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	row, ok := v.rows[types.InstanceID(incarnation)]
	return row, ok
}

func (v *fakeView) Changed() <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.changed
}

func (v *fakeView) ReportFailure(types.InstanceID) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.failures++
}

// set changes the state of an instance.
func (v *fakeView) set(id types.InstanceID, state types.InstanceState) {
	v.mu.Lock()
	defer v.mu.Unlock()
	row := v.rows[id]
	row.State = state
	v.rows[id] = row
	close(v.changed)
	v.changed = make(chan struct{})
}

// fakeLoads returns load reports controlled by the test and counts the polls.
type fakeLoads struct {
	mu      sync.Mutex
	leaving map[types.UpstreamID]bool
	down    map[types.UpstreamID]bool
	polls   map[types.UpstreamID]int
}

func (u *fakeLoads) Load(_ context.Context, upstream config.Upstream) (LoadReport, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.polls[upstream.ID]++
	if u.down[upstream.ID] {
		return LoadReport{}, fault.New(fault.NoUpstream, "down")
	}
	return LoadReport{Leaving: u.leaving[upstream.ID]}, nil
}

// setDown sets whether the upstream refuses connections.
func (u *fakeLoads) setDown(id types.UpstreamID, down bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.down[id] = down
}

// member is one instance of a cluster.
type member struct {
	dispatch *Dispatch
	view     *fakeView
	row      types.Instance
	cancel   context.CancelFunc
	done     chan struct{}
}

// cluster is a set of instances on a fake network.
type cluster struct {
	t       *testing.T
	network *fakes.Network
	store   *config.Store
	loads   *fakeLoads
	members []*member
	policy  func(types.PoolID) pool.Policy
}

// document returns a configuration with one class and one upstream per given
// data centre.
func document(slots int, centres ...types.DataCentre) *config.Document {
	d := &config.Document{
		Classes: []config.Class{{Name: "live", Tier: 1, Deadline: 60000, Floor: config.Floor{Starts: 1, Interval: 10000}}},
		Rules:   []config.Rule{{Name: "all", When: "true", Class: "live", Target: testTarget}},
		Targets: []config.Target{{Name: testTarget, Kind: config.EngineTarget, Model: "m"}},
	}
	for i, centre := range centres {
		d.Upstreams = append(d.Upstreams, config.Upstream{
			ID:            types.UpstreamID(fmt.Sprintf("engine-%d", i)),
			Target:        testTarget,
			DataCentre:    centre,
			URL:           fmt.Sprintf("http://127.0.0.1:%d", 9000+i),
			MaxConcurrent: slots,
			KVTokens:      100000,
		})
	}
	return d
}

// newCluster starts n instances in the data centre lac. It must be called in a
// synctest bubble.
func newCluster(t *testing.T, n int, d *config.Document) *cluster {
	t.Helper()
	snapshot, err := config.Compile(1, d)
	if err != nil {
		t.Fatal(err)
	}
	c := &cluster{
		t:       t,
		network: fakes.NewNetwork(1),
		store:   config.NewStore(),
		loads: &fakeLoads{
			leaving: map[types.UpstreamID]bool{},
			down:    map[types.UpstreamID]bool{},
			polls:   map[types.UpstreamID]int{},
		},
		policy: func(types.PoolID) pool.Policy { return pool.NewFIFO(4, 1000) },
	}
	if err := c.store.Apply(snapshot); err != nil {
		t.Fatal(err)
	}
	c.network.SetDelay(time.Millisecond, 2*time.Millisecond)
	rows := map[types.InstanceID]types.Instance{}
	for i := range n {
		id := types.InstanceID(fmt.Sprintf("node-%d", i))
		rows[id] = types.Instance{ID: id, DataCentre: "lac", PeerAddress: string(id) + ":1", State: types.InstanceLive}
	}
	for i := range n {
		row := rows[types.InstanceID(fmt.Sprintf("node-%d", i))]
		c.members = append(c.members, c.start(row, types.Incarnation(row.ID), rows))
	}
	return c
}

// start starts an incarnation of an instance.
func (c *cluster) start(row types.Instance, incarnation types.Incarnation, rows map[types.InstanceID]types.Instance) *member {
	view := &fakeView{self: row, rows: map[types.InstanceID]types.Instance{}, changed: make(chan struct{})}
	for id, other := range rows {
		view.rows[id] = other
	}
	m := &member{view: view, row: row, done: make(chan struct{})}
	identity := peer.Identity{Instance: row.ID, Incarnation: incarnation, DataCentre: row.DataCentre}
	caller, registrar := c.network.AddNode(row.PeerAddress, identity)
	m.dispatch = New(Options{
		Self:        row,
		Incarnation: identity.Incarnation,
		View:        view,
		Caller:      caller,
		Store:       c.store,
		NewPolicy:   func(id types.PoolID) pool.Policy { return c.policy(id) },
		Loads:       c.loads,
	})
	m.dispatch.Register(registrar)
	ctx, cancel := context.WithCancel(context.Background())
	m.cancel = cancel
	go func() {
		defer close(m.done)
		_ = m.dispatch.Run(ctx)
	}()
	return m
}

// kill stops the instance without notifying its peers.
func (c *cluster) kill(m *member) {
	c.network.RemoveNode(m.row.PeerAddress)
	m.cancel()
	<-m.done
}

// stop stops all instances.
func (c *cluster) stop() {
	for _, m := range c.members {
		m.cancel()
	}
	for _, m := range c.members {
		<-m.done
	}
	// Lets messages in flight arrive.
	time.Sleep(time.Second)
	synctest.Wait()
}

// dispatcher returns the member that dispatches the pool according to the
// initial view.
func (c *cluster) dispatcher(id types.PoolID) *member {
	chosen, _ := chooseDispatcher(id, c.members[0].view.Live(), nil, func(types.Instance) bool { return true })
	for _, m := range c.members {
		if m.row.ID == chosen.ID {
			return m
		}
	}
	c.t.Fatal("no dispatcher")
	return nil
}

// others returns all members except one.
func (c *cluster) others(than *member) []*member {
	return slices.DeleteFunc(slices.Clone(c.members), func(m *member) bool { return m == than })
}

// request returns a request of the class that document declares.
func request(id string) pool.Request {
	return pool.Request{
		ID: types.RequestID(id), Class: "live", Tier: 1, Account: "a", MaxTokens: 10,
		DeadlineIn: 30 * time.Second, Repeatable: true,
	}
}
