//go:build review

// All processes of the system are killed while streams run; their clients take the streams up again.
package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/umbercrank/umbercrank/review/lib"
)

const (
	machines = 3
	streams  = 24
	deadline = 15 * time.Second
	// killAfter is how long the streams have run at the disruption, down how long the processes are
	// down, and pause how long a client waits before it takes its stream up again.
	killAfter = 2 * time.Second
	down      = 700 * time.Millisecond
	pause     = 4500 * time.Millisecond
	events    = 73
	eventGap  = 140 * time.Millisecond
)

type tally struct {
	mu           sync.Mutex
	begun, asked int
	takenUp      int
	goesOn       int
	untouched    int
}

func (t *tally) note(f func()) { t.mu.Lock(); defer t.mu.Unlock(); f() }

func main() {
	r := lib.Start()
	r.Store.Put("op/config", lib.Config(7))
	for i := range 4 {
		// All workers have the same software version, and there was never another one.
		r.AddWorker(&lib.Worker{ID: fmt.Sprintf("i-pool%d", i), Service: "pool", Version: "v1", Slots: 64, Work: 50 * time.Millisecond, Events: events, Pause: eventGap})
	}
	r.AddNodes(machines, lib.Settings{MemoryMB: 134})
	// The instances have read the list for longer than any stream lasts.
	time.Sleep(35 * time.Second)
	var all sync.WaitGroup
	var t tally
	began := time.Now()
	for range streams {
		all.Go(func() { stream(r, &t, began) })
	}
	time.Sleep(time.Until(began.Add(killAfter)))
	if r.Trouble {
		for _, node := range r.Nodes {
			node.Signal(syscall.SIGKILL, true)
		}
		time.Sleep(down)
		for _, node := range r.Nodes {
			node.Start(false)
		}
	}
	// New streams at the time at which the others are taken up.
	time.Sleep(time.Until(began.Add(killAfter + pause)))
	for range streams {
		all.Go(func() { fresh(r, &t) })
	}
	all.Wait()
	broken := t.takenUp >= 12 && 2*t.goesOn*t.asked < t.begun*t.takenUp
	r.Verdict(broken, "%d streams taken up at machines in touch, %d go on; %d new streams, %d begin; %d streams not taken up", t.takenUp, t.goesOn, t.asked, t.begun, t.untouched)
}

func header(id string, left time.Duration, more ...string) string {
	more = append(more, "X-Umbercrank-Model-Name: m", "X-Umbercrank-Token-Usage: 826,292", fmt.Sprintf("X-Umbercrank-Prefix-Hash: 5c1e07a2:119,91bd3f06:79,%016x:628", rand.Uint64()), "Content-Length: 2")
	return lib.Header("POST", "/chat/2f", id, left, more...) + "\r\nhi"
}

// stream begins a stream and takes it up again once its connection has broken.
func stream(r *lib.Run, t *tally, began time.Time) {
	node := r.Nodes[rand.IntN(machines)]
	beginner := lib.NewID("begin")
	conn, err := lib.Dial(node.Address())
	if err != nil {
		r.NotRun("dial: %v", err)
	}
	if _, err := io.WriteString(conn, header(beginner, deadline)); err != nil {
		r.NotRun("write: %v", err)
	}
	until := began.Add(deadline)
	if !r.Trouble {
		// Without the disruption the client itself breaks off.
		until = began.Add(killAfter)
	}
	answer, err := conn.Read("POST", until)
	_ = conn.Close()
	r.Logf("client: %s to %s: status %d, %d events, the last is %q: %v", beginner, node.Name, answer.Status, answer.Events, answer.LastEvent, err)
	if err == nil || answer.LastEvent == "" {
		t.note(func() { t.untouched++ })
		return
	}
	time.Sleep(time.Until(began.Add(killAfter + pause)))
	last, _ := strconv.Atoi(answer.LastEvent)
	inTouch, goes := false, false
	for tries := 0; tries < 4 && time.Since(began) < deadline-time.Second; tries++ {
		node := r.Nodes[rand.IntN(machines)]
		id := lib.NewID("again")
		conn, err := lib.Dial(node.Address())
		if err != nil {
			time.Sleep(200 * time.Millisecond)
			continue
		}
		touch := node.InTouch(time.Now())
		left := time.Until(began.Add(deadline))
		_, _ = io.WriteString(conn, header(id, left, "Last-Event-Id: "+answer.LastEvent, "Resumes: "+beginner))
		next, err := conn.Read("POST", began.Add(deadline))
		_ = conn.Close()
		r.Logf("client: %s to %s takes up %s after event %d, in touch %v: status %d, retry after %q, %d events, %s, %v", id, node.Name, beginner, last, touch, next.Status, next.RetryAfter, next.Events, next.Body[:min(len(next.Body), 200)], err)
		inTouch = inTouch || touch
		if next.Status == 200 && next.Events > 0 {
			goes = true
			break
		}
		wait, _ := strconv.ParseFloat(next.RetryAfter, 64)
		wait = min(wait, time.Until(began.Add(deadline)).Seconds()/3)
		time.Sleep(time.Duration(wait * float64(time.Second)))
	}
	t.note(func() {
		switch {
		case !inTouch:
			t.untouched++
		case goes:
			t.takenUp++
			t.goesOn++
		default:
			t.takenUp++
		}
	})
}

// fresh begins a new stream.
func fresh(r *lib.Run, t *tally) {
	node := r.Nodes[rand.IntN(machines)]
	id := lib.NewID("new")
	conn, err := lib.Dial(node.Address())
	if err == nil {
		_, _ = io.WriteString(conn, header(id, deadline))
	}
	began := false
	if err == nil {
		answer, _ := conn.Read("POST", time.Now().Add(3*time.Second))
		began = answer.Status == 200 && answer.Events > 0
		r.Logf("client: new stream %s at %s: status %d, %d events", id, node.Name, answer.Status, answer.Events)
		_ = conn.Close()
	}
	t.note(func() {
		t.asked++
		if began {
			t.begun++
		}
	})
}
