//go:build review

// The machines are stopped and started in turn while streams of two software versions run.
package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/umbercrank/umbercrank/review/lib"
)

const (
	machines = 3
	deadline = 15 * time.Second // of the requests parent-chat
	events   = 96
	eventGap = 140 * time.Millisecond // below the pause of 150 ms that is on time
	gap      = 2 * time.Second
	grace    = 8 * time.Second // GraceS
	// pause is how long a client waits before it takes its stream up again, as readers of
	// text/event-stream do: a few seconds.
	pause = 3 * time.Second
	// each is the time between the beginnings of two streams, in all.
	each = 150 * time.Millisecond
	// before and after bound the traffic around the disruption.
	before, after = 4 * time.Second, 24 * time.Second
)

type tally struct {
	mu                            sync.Mutex
	asked, begun, takenUp, goOn   int
	takenUpElsewhere, goOnThere   int
	complete, notBegun, uncounted int
}

func (t *tally) note(f func()) { t.mu.Lock(); defer t.mu.Unlock(); f() }

func main() {
	r := lib.Start()
	r.Store.Put("op/config", lib.Config(7))
	for i := range 6 {
		// Three workers of each version serve side by side all the time.
		r.AddWorker(&lib.Worker{ID: fmt.Sprintf("i-pool%d", i), Service: "pool", Version: fmt.Sprintf("v%d", 1+i%2), Slots: 64, Work: 50 * time.Millisecond, Events: events, Pause: eventGap})
	}
	r.AddNodes(machines, lib.Settings{MemoryMB: 134})
	// All machines have run for longer than any stream lasts.
	time.Sleep(20 * time.Second)
	var all sync.WaitGroup
	var t tally
	began := time.Now()
	if r.Trouble {
		all.Go(func() {
			time.Sleep(before)
			for _, node := range r.Nodes {
				all.Go(func() { restart(r, node) })
				time.Sleep(gap)
			}
		})
	}
	for time.Since(began) < before+after {
		all.Go(func() { stream(r, &t) })
		time.Sleep(each)
	}
	all.Wait()
	broken := t.takenUp >= 12 && 2*t.goOn*t.asked < t.begun*t.takenUp
	r.Verdict(broken, "%d streams taken up again at machines in touch, %d go on; %d new streams at such machines, %d begin; %d taken up at other machines only, %d go on; %d streams complete",
		t.takenUp, t.goOn, t.asked, t.begun, t.takenUpElsewhere, t.goOnThere, t.complete)
}

// restart does what the platform does: SIGTERM, SIGKILL after GraceS, and a start after a short delay.
func restart(r *lib.Run, node *lib.Node) {
	node.Disturb()
	node.Signal(syscall.SIGTERM, true)
	select {
	case <-node.Done():
	case <-time.After(grace):
		node.Kill()
	}
	time.Sleep(200 * time.Millisecond)
	node.Start(false)
}

// resolve asks the directories for an address, as clients do, and leaves out the machines that have
// failed the client.
func resolve(r *lib.Run, failed map[string]bool) *lib.Node {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for _, i := range rand.Perm(machines) {
		response, err := client.Get("http://" + r.Nodes[i].Directory() + "/resolve?Name=" + lib.Host + "&Region=r&Zone=z")
		if err != nil {
			continue
		}
		var found struct{ Addresses []string }
		err = json.NewDecoder(response.Body).Decode(&found)
		_ = response.Body.Close()
		if err != nil || response.StatusCode != http.StatusOK {
			continue
		}
		rand.Shuffle(len(found.Addresses), func(i, j int) {
			found.Addresses[i], found.Addresses[j] = found.Addresses[j], found.Addresses[i]
		})
		for _, address := range found.Addresses {
			if !failed[address] {
				return r.Nodes[slices.IndexFunc(r.Nodes, func(n *lib.Node) bool { return n.Address() == address })]
			}
		}
	}
	return nil
}

func send(r *lib.Run, failed map[string]bool, id string, left time.Duration, more ...string) (*lib.Node, *lib.Conn) {
	for range machines {
		node := resolve(r, failed)
		if node == nil {
			return nil, nil
		}
		conn, err := lib.Dial(node.Address())
		if err != nil {
			failed[node.Address()] = true
			continue
		}
		more = append(more, "X-Umbercrank-Model-Name: m", "X-Umbercrank-Token-Usage: 826,384", fmt.Sprintf("X-Umbercrank-Prefix-Hash: 5c1e07a2:119,91bd3f06:79,%016x:628", rand.Uint64()), "Content-Length: 2")
		if _, err := io.WriteString(conn, lib.Header("POST", "/chat/2f", id, left, more...)+"\r\nhi"); err == nil {
			return node, conn
		}
		_ = conn.Close()
	}
	return nil, nil
}

// stream begins a stream, and takes it up again once its connection has broken.
func stream(r *lib.Run, t *tally) {
	began := time.Now()
	end := began.Add(deadline)
	beginner := lib.NewID("begin")
	node, conn := send(r, map[string]bool{}, beginner, deadline)
	if node == nil {
		return
	}
	touch := node.InTouch(began)
	until := end
	if !r.Trouble && rand.IntN(4) == 0 {
		// Without the disruption some clients break off themselves.
		until = began.Add(7 * time.Second)
	}
	answer, err := conn.Read("POST", until)
	_ = conn.Close()
	started := answer.Status == http.StatusOK && answer.Events > 0
	t.note(func() {
		if touch {
			t.asked++
			if started {
				t.begun++
			}
		}
		if answer.Complete && started {
			t.complete++
		}
	})
	r.Logf("client: %s at %s, in touch %v: status %d, %d events, the last is %q: %v", beginner, node.Name, touch, answer.Status, answer.Events, answer.LastEvent, err)
	if !started || answer.Complete {
		return
	}
	time.Sleep(pause)
	failed := map[string]bool{node.Address(): true}
	counts, goes, tried := false, false, false
	for try := 0; !goes && try < 12 && time.Until(end) > 500*time.Millisecond; try++ {
		id := lib.NewID("again")
		left := time.Until(end)
		node, conn := send(r, failed, id, left, "Last-Event-Id: "+answer.LastEvent, "Resumes: "+beginner)
		if node == nil {
			clear(failed)
			time.Sleep(200 * time.Millisecond)
			continue
		}
		touch := node.InTouch(time.Now())
		next, err := conn.Read("POST", end)
		_ = conn.Close()
		goes = next.Status == http.StatusOK && next.Events > 0
		tried, counts = true, counts || touch
		r.Logf("client: %s at %s, in touch %v, takes up %s behind event %s: status %d, %d events, return after %q, %s, %v", id, node.Name, touch, beginner, answer.LastEvent, next.Status, next.Events, next.RetryAfter, next.Body[:min(len(next.Body), 160)], err)
		wait, _ := strconv.ParseFloat(next.RetryAfter, 64)
		time.Sleep(min(time.Duration(wait*float64(time.Second)), time.Until(end)/3))
	}
	t.note(func() {
		switch {
		case counts:
			t.takenUp++
			if goes {
				t.goOn++
			}
		case tried:
			t.takenUpElsewhere++
			if goes {
				t.goOnThere++
			}
		}
	})
}
