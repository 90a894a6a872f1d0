package exhaustion

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/umbercrank/umbercrank/pkg/config"
	"github.com/umbercrank/umbercrank/pkg/directory"
	"github.com/umbercrank/umbercrank/pkg/standin/configuration"
	"github.com/umbercrank/umbercrank/pkg/standin/service"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// serveKey is the API key of the account of examples/quickstart.yaml.
const serveKey = "quickstart-key"

// startServe starts instances of `serve` with a configuration service and a plain service, and waits until
// all of them serve.
func startServe(t *testing.T, size int) []*instance {
	t.Helper()
	host := hosts()
	calls := listen(t, host(workerHost))
	plain := service.DefaultSettings()
	plain.Name, plain.MaxBodyBytes = "queue", maxBodyBytes
	serveHTTP(t, calls, service.New(plain).Handler())
	published := configuration.New()
	document, err := config.Parse([]byte(fmt.Sprintf(`
classes:
  - {name: claim, tier: 2, deadline_ms: 30000, floor: {starts: 1, interval_ms: 1000}}
rules:
  - {name: claims, when: 'kind == "service"', class: claim, target: queue}
targets:
  - {name: queue, kind: service, service: queue}
upstreams:
  - {id: queue-1, target: queue, data_centre: z, url: "http://%s", max_concurrent: 32}
accounts:
  - {id: clinic, key_sha256: [130a82f68d3064ef477880b571abfcf0f1f4aac4f9cd161aea5e6b543d2ee2d8], limits: {weight: 1}}
`, calls.Addr())))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := published.Publish(document); err != nil {
		t.Fatal(err)
	}
	var list []types.Instance
	for n := range size {
		own := host(n + 1)
		list = append(list, types.Instance{ID: types.InstanceID(fmt.Sprintf("entry-%d", n+1)), DataCentre: "z", CallerAddress: own + ":7100", PeerAddress: own + ":7200", State: types.InstanceLive})
	}
	published.SetInstances(list)
	source := listen(t, host(storeHost))
	serveHTTP(t, source, published.Handler())
	var instances []*instance
	for n, member := range list {
		own := host(n + 1)
		environment := []string{"UMBERCRANK_PEER_SECRET=exhaustion-secret", fmt.Sprint("UMBERCRANK_MEMORY_BYTES=", memoryMB<<20)}
		instances = append(instances, startInstance(t, string(member.ID), own, map[string]string{"callers": member.CallerAddress, "admin": own + ":7300"}, environment,
			"serve", "--instance", string(member.ID), "--data-centre", "z", "--caller-address", member.CallerAddress, "--peer-address", member.PeerAddress, "--admin-address", own+":7300",
			"--platform-url", "http://"+source.Addr().String(), "--max-body-bytes", fmt.Sprint(maxBodyBytes), "--max-header-bytes", fmt.Sprint(maxHeaderBytes), "--log-level", "warn"))
	}
	for _, i := range instances {
		if !await(func() bool { return ordinary(callersOfServe(i)) == nil }) {
			t.Fatalf("%s does not serve", i.name)
		}
	}
	return instances
}

// callersOfServe is the port for callers of an instance of `serve`.
func callersOfServe(i *instance) endpoint {
	return endpoint{address: i.addresses["callers"], method: "POST", target: "/v1/services/queue/claim", fields: func(int) string {
		return "Host: h.example\r\nAuthorization: Bearer " + serveKey + "\r\nX-Umbercrank-Repeatable: true\r\n"
	}}
}

// addressOf asks the instance at a port for callers for the address of an instance.
func addressOf(t *testing.T, executor *instance, asked string) directory.Address {
	t.Helper()
	response, err := http.Get("http://" + asked + "/v1/addresses")
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	var answer directory.Answer
	if err := json.NewDecoder(response.Body).Decode(&answer); err != nil {
		t.Fatal(err)
	}
	for _, a := range answer.Addresses {
		if string(a.Instance) == executor.name {
			return a
		}
	}
	return directory.Address{}
}

// executedBy returns the requests to an endpoint that another instance must execute. It waits until
// the instance at the endpoint knows the incarnation of the other one: before that, the executor of
// a key is unknown.
func executedBy(t *testing.T, e endpoint, executor *instance) endpoint {
	t.Helper()
	own := addressOf(t, executor, executor.addresses["callers"])
	if own.Incarnation == "" || !await(func() bool { return addressOf(t, executor, e.address).Incarnation == own.Incarnation }) {
		t.Fatalf("the instance at %s does not know the incarnation of %s", e.address, executor.name)
	}
	e.fields = func(client int) string {
		return fmt.Sprintf("Host: h.example\r\nAuthorization: Bearer %s\r\nIdempotency-Key: %s.%s.card-%d\r\n", serveKey, own.Incarnation, own.Window, client)
	}
	return e
}

// TestCallersOfServe lets a crowd abuse the port for callers.
func TestCallersOfServe(t *testing.T) {
	for _, a := range append(stalling(), idleConnections) {
		t.Run(a.name, func(t *testing.T) {
			instances := startServe(t, 1)
			callers := callersOfServe(instances[0])
			checkAbuse(t, a, callers, func() error { return ordinary(callers) }, instances...)
		})
	}
}

// chatOfServe are requests for a chat completion.
func chatOfServe(i *instance) endpoint {
	e := callersOfServe(i)
	e.target = "/v1/chat/completions"
	return e
}

// manyMessages is a body of legal size with as many messages as fit.
var manyMessages = abuse{"many messages", 0, func(to io.Writer, e endpoint, client int) error {
	const start, message, end = `{"model":"demo-model","messages":[0`, ",0", "]}"
	body := start + strings.Repeat(message, (maxBodyBytes-len(start)-len(end))/len(message)) + end
	_, err := fmt.Fprintf(to, "%sContent-Length: %d\r\n\r\n%s", e.start(client), len(body), body)
	return err
}}

// TestChatOfServe lets a crowd send bodies that take much more memory once they are parsed.
func TestChatOfServe(t *testing.T) {
	instances := startServe(t, 1)
	callers := callersOfServe(instances[0])
	// No target serves the model, which is known once the body is parsed.
	chat := chatOfServe(instances[0])
	if err := exchange(chat.address, func(to io.Writer) error { return manyMessages.send(to, chat, 0) }); err == nil || !strings.Contains(err.Error(), "status 404") {
		t.Errorf("a single request: %v", err)
	}
	checkAbuse(t, manyMessages, chatOfServe(instances[0]), func() error { return ordinary(callers) }, instances...)
}

// TestExecutingInstanceOfServe lets a crowd abuse an instance with requests that another instance executes.
func TestExecutingInstanceOfServe(t *testing.T) {
	for _, a := range append(complete(), group("open/", openBodies())...) {
		t.Run(a.name, func(t *testing.T) {
			instances := startServe(t, 2)
			callers := callersOfServe(instances[0])
			checkAbuse(t, a, executedBy(t, callers, instances[1]), func() error { return ordinary(callers) }, instances...)
		})
	}
}

// TestLegalRequestIsServedByServe checks that each request inside the limits is served in calm.
func TestLegalRequestIsServedByServe(t *testing.T) {
	instances := startServe(t, 2)
	callers := callersOfServe(instances[0])
	forwarded := executedBy(t, callers, instances[1])
	for name, e := range map[string]endpoint{"own": callers, "forwarded": forwarded} {
		client := 0
		for _, a := range complete() {
			client++
			t.Run(name+"/"+a.name, func(t *testing.T) {
				if err := exchange(e.address, func(to io.Writer) error { return a.send(to, e, client) }); err != nil {
					t.Error(err)
				}
			})
		}
	}
}
