package fleet

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/rs/zerolog"

	"github.com/umbercrank/umbercrank/pkg/configservice"
	"github.com/umbercrank/umbercrank/pkg/node"
	"github.com/umbercrank/umbercrank/pkg/peer"
	"github.com/umbercrank/umbercrank/pkg/standin/configuration"
	"github.com/umbercrank/umbercrank/pkg/standin/engine"
	"github.com/umbercrank/umbercrank/pkg/timeline"
	"github.com/umbercrank/umbercrank/pkg/timeline/causal"
	"github.com/umbercrank/umbercrank/pkg/types"
	"github.com/umbercrank/umbercrank/test/fakes"
	"github.com/umbercrank/umbercrank/test/httpfakes"
)

const (
	// minPeerDelay and maxPeerDelay bound the delay of a message between instances.
	minPeerDelay = 200 * time.Microsecond
	maxPeerDelay = 2 * time.Millisecond
	// settlingTime is the time in which all instances know each other and the dispatchers.
	settlingTime = time.Second
)

// inBubble runs the test in a synctest bubble. The clock there advances only while all goroutines
// wait, so that no timeout of an instance expires because the machine is busy.
func inBubble(t *testing.T, test func(t *testing.T)) {
	t.Parallel()
	synctest.Test(t, test)
}

// startInBubble is the same as start in a synctest bubble. All parts of the fleet are connected by
// pipes, and messages between instances by a fake network.
func startInBubble(t *testing.T, n size) *fleet {
	t.Helper()
	f := &fleet{platform: configuration.New(), network: httpfakes.NewNetwork(), engines: make(map[types.UpstreamID]*engine.Engine)}
	callers := &http.Transport{DialContext: f.dial()}
	f.client = &http.Client{Transport: callers}
	t.Cleanup(callers.CloseIdleConnections)
	f.serveHTTP(t, "platform", f.platform.Handler(), nil)
	if _, err := f.platform.Publish(f.startUpstreams(t, n)); err != nil {
		t.Fatal(err)
	}
	peers := fakes.NewNetwork(seed(t))
	peers.SetDelay(minPeerDelay, maxPeerDelay)
	var rows []types.Instance
	for i := range n.instances {
		rows = append(rows, f.addInBubble(t, i, peers))
	}
	f.platform.SetInstances(rows)
	t.Cleanup(func() { f.stop(t) })
	f.awaitServing(t)
	// On loopback, starting takes longer than until the instances know each other.
	time.Sleep(settlingTime)
	return f
}

// dial returns the function with which callers connect. It is nil on loopback.
func (f *fleet) dial() func(ctx context.Context, network, address string) (net.Conn, error) {
	if f.network == nil {
		return nil
	}
	return f.network.Dialer("caller", "caller")
}

// serveHTTP serves the handler on the host until the test ends.
func (f *fleet) serveHTTP(t *testing.T, host string, handler http.Handler, protocols *http.Protocols) {
	t.Helper()
	server := &http.Server{Handler: handler, Protocols: protocols}
	listener := f.network.Listen(host)
	var group sync.WaitGroup
	group.Go(func() { _ = server.Serve(listener) })
	t.Cleanup(func() {
		_ = server.Close()
		group.Wait()
	})
}

// addInBubble starts the i-th instance and returns its entry in the instance list.
func (f *fleet) addInBubble(t *testing.T, i int, peers *fakes.Network) types.Instance {
	t.Helper()
	settings := instanceSettings(t, i, "http://platform")
	host := settings.Instance
	settings.CallerAddress, settings.PeerAddress, settings.AdminAddress = host+":80", host+"-peer:81", host+"-admin:82"
	incarnation := types.Incarnation(ulid.Make().String())
	ring := timeline.NewRing(types.InstanceID(host), settings.TimelineEvents, time.Now)
	caller, registrar := peers.AddNode(settings.PeerAddress, peer.Identity{
		Instance: types.InstanceID(host), Incarnation: incarnation, DataCentre: dataCentre(i),
	})
	log := &logBuffer{}
	f.logs = append(f.logs, log)
	began := time.Now()
	dial := f.network.Dialer(host, string(incarnation))
	protocols := &http.Protocols{}
	protocols.SetUnencryptedHTTP2(true)
	streams := &http.Transport{DialContext: dial, Protocols: protocols}
	platform := &http.Transport{DialContext: dial}
	roles, err := node.NewRoles(settings, incarnation, node.Dependencies{
		Source:    configservice.NewClient(settings.PlatformURL, &http.Client{Transport: platform}),
		Caller:    causal.NewCaller(caller, ring),
		Registrar: causal.NewRegistrar(registrar, ring),
		Streams:   unencrypted{streams},
		Dial:      dial,
		Clock:     func() time.Duration { return time.Since(began) },
	}, ring, zerolog.New(log).With().Timestamp().Logger())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		streams.CloseIdleConnections()
		platform.CloseIdleConnections()
	})
	f.serveHTTP(t, host+"-peer", roles.StreamHandler(), protocols)
	f.serveHTTP(t, host+"-admin", ring.Handler(), nil)
	f.instances = append(f.instances, settings.CallerAddress)
	f.admins = append(f.admins, settings.AdminAddress)
	f.runRoles(settings, roles)
	return types.Instance{
		ID: types.InstanceID(host), DataCentre: dataCentre(i), State: types.InstanceLive,
		CallerAddress: settings.CallerAddress, PeerAddress: settings.PeerAddress,
	}
}

// runRoles runs the roles, and serves callers once they are ready, until the instance is stopped.
func (f *fleet) runRoles(settings node.Settings, roles *node.Roles) {
	stop, cancelStop := context.WithCancel(context.Background())
	run, cancelRun := context.WithCancel(context.Background())
	done, ran := make(chan error, 1), make(chan error, 1)
	go func() { ran <- roles.Run(run) }()
	go func() {
		defer close(done)
		defer cancelRun()
		select {
		case <-roles.Ready():
		case err := <-ran:
			done <- fmt.Errorf("the instance ended before it was ready: %w", err)
			return
		}
		callers := &http.Server{Handler: roles.Handler()}
		go func() { _ = callers.Serve(f.network.Listen(settings.Instance)) }()
		<-stop.Done()
		timeout, cancel := context.WithTimeout(context.Background(), settings.StopTimeout)
		defer cancel()
		roles.Leave(timeout)
		_ = callers.Shutdown(timeout)
		_ = callers.Close()
		cancelRun()
		done <- <-ran
	}()
	f.stops = append(f.stops, cancelStop)
	f.stopped = append(f.stopped, done)
}

// unencrypted sends the requests to peers without TLS.
type unencrypted struct{ transport http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (u unencrypted) RoundTrip(request *http.Request) (*http.Response, error) {
	request = request.Clone(request.Context())
	request.URL.Scheme = "http"
	return u.transport.RoundTrip(request)
}
