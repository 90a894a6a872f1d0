//go:build review

// Command 8 plays case 8: all processes are killed at one moment in a deployment that has run for longer
// than the store keeps its history. Clients take their streams up when the machines are in touch again.
package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/umbercrank/umbercrank/review/lib2"
)

const (
	// version is that of all workers, all the time.
	version = "2.0"
	// streams is the number of streams that are running when the processes are killed, and of those
	// that begin later.
	streams = 24
	// down is how long the processes are down, and pause how long clients wait before they take a
	// stream up.
	down, pause = 700 * time.Millisecond, 4500 * time.Millisecond
	// historyGone is longer than HistoryS.
	historyGone = 22 * time.Second
	// stableWindow is Bounds.StableWindowMs.
	stableWindow = 3 * time.Second
)

func main() { lib2.Main(play) }

func play() (violated bool, err error) {
	d, err := lib2.NewDeployment("8", []string{version, version, version, version, version, version}, nil)
	if err != nil {
		return false, err
	}
	defer d.Close()
	for _, w := range d.Pool {
		w.EventGap = 130 * time.Millisecond
	}
	if err := d.Start(); err != nil {
		return false, err
	}
	time.Sleep(historyGone)
	broken, breakOff := context.WithCancel(context.Background())
	defer breakOff()
	clients := lib2.NewClients(d.Fleet, d.Record, lib2.Host, lib2.Key)
	clients.Pause, clients.Retries, clients.BreakOff = pause, 4, broken
	before, await := start(clients)
	time.Sleep(2 * time.Second)
	if lib2.Trouble() {
		for _, front := range d.Fleet.Fronts {
			front.Signal(syscall.SIGKILL)
		}
		for _, front := range d.Fleet.Fronts {
			<-front.Done()
		}
		time.Sleep(down)
		for _, front := range d.Fleet.Fronts {
			if err := front.Start(); err != nil {
				return false, err
			}
		}
	} else {
		breakOff()
		time.Sleep(down)
	}
	time.Sleep(pause)
	others := lib2.NewClients(d.Fleet, d.Record, lib2.Host, lib2.Key)
	others.Retries = 0
	after, awaitOthers := start(others)
	awaitOthers()
	await()
	breakOff()

	startedAt := make(map[string]time.Duration)
	for _, front := range d.Fleet.Fronts {
		startedAt[front.Address()] = front.StartedAt
	}
	takenUp, goOn, untimely := 0, 0, 0
	for _, r := range before {
		if len(r.Tries) < 2 || r.Tries[0].Events == 0 {
			continue
		}
		counts, went := true, false
		for _, try := range r.Tries[1:] {
			counts = counts && try.SentAt-startedAt[try.Address] > stableWindow
			went = went || try.Events > 0
		}
		switch {
		case !counts:
			untimely++
		case went:
			takenUp, goOn = takenUp+1, goOn+1
		default:
			takenUp++
		}
	}
	begun := 0
	for _, r := range after {
		if len(r.Tries) > 0 && r.Tries[0].Events > 0 {
			begun++
		}
	}
	d.Record.Say("%d streams taken up at machines in touch, %d go on; %d new streams, %d begin; %d taken up earlier", takenUp, goOn, len(after), begun, untimely)
	if begun == 0 || takenUp < 12 {
		return false, fmt.Errorf("too few streams")
	}
	return 2*float64(goOn)/float64(takenUp) < float64(begun)/float64(len(after)), d.CheckAlive()
}

// start sends requests for streams within a second. The returned function waits for them.
func start(clients *lib2.Clients) (results []*lib2.Result, await func()) {
	results = make([]*lib2.Result, streams)
	var running sync.WaitGroup
	for i := range results {
		running.Go(func() {
			time.Sleep(time.Duration(rand.Float64() * float64(time.Second)))
			results[i] = clients.Stream(context.Background(), "/st1/x", fmt.Sprintf("aa01:198,%08x:630", rand.Uint32()))
		})
	}
	return results, running.Wait
}
