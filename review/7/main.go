//go:build review

// Command 7 plays case 7: workers of a plain service fail a part of their requests after they have
// run them, with a status 503 of their own that does not state that the request has not run.
package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/umbercrank/umbercrank/review/lib2"
)

const (
	// perSecond is the rate of requests, as on the sheet of next-callback.
	perSecond = 11.0
	// failing is the part of its requests that one worker of four fails, and failFor the time.
	failing, failFor = 0.45, 6 * time.Second
)

func main() { lib2.Main(play) }

func play() (violated bool, err error) {
	d, err := lib2.NewDeployment("7", nil, []string{"1", "1", "1", "1"})
	if err != nil {
		return false, err
	}
	defer d.Close()
	if err := d.Start(); err != nil {
		return false, err
	}
	clients := lib2.NewClients(d.Fleet, d.Record, lib2.Host, lib2.Key)
	var mu sync.Mutex
	var tries []lib2.Try
	var running sync.WaitGroup
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	sending := make(chan struct{})
	go func() {
		defer close(sending)
		for ctx.Err() == nil {
			if address := clients.Pick(); address != "" {
				running.Go(func() {
					try := clients.Once(context.Background(), address, http.MethodPost, "/un/next", "{}", 3*time.Second)
					mu.Lock()
					tries = append(tries, try)
					mu.Unlock()
				})
			}
			time.Sleep(time.Duration(rand.ExpFloat64() / perSecond * float64(time.Second)))
		}
	}()
	time.Sleep(4 * time.Second)
	if lib2.Trouble() {
		d.Record.Add("worker %s fails %.2f of its requests", d.API[0].ID, failing)
		d.API[0].SetRespond(func(w *lib2.Worker, out http.ResponseWriter, r *http.Request) bool {
			if rand.Float64() >= failing {
				return false
			}
			// The work is done, and then its result cannot be read back.
			time.Sleep(w.Work)
			id := r.Header.Get("X-Umbercrank-Request-Id")
			out.Header().Set("X-Umbercrank-Response-Seal", lib2.Seal(id))
			d.Record.Add("worker %s has run %s and fails with 503", w.ID, id)
			out.WriteHeader(http.StatusServiceUnavailable)
			return true
		})
	}
	time.Sleep(failFor)
	d.API[0].SetRespond(nil)
	time.Sleep(4 * time.Second)
	stop()
	<-sending
	running.Wait()

	runs := make(map[string]int)
	for _, w := range d.API {
		for _, run := range w.Runs() {
			runs[run.Request]++
		}
	}
	served, refused, broken := 0, 0, 0
	for _, try := range tries {
		switch try.Status {
		case http.StatusOK:
			served++
		case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
			refused++
			if runs[try.ID] > 0 {
				broken++
				d.Record.Add("%s was answered %d at %s and has run", try.ID, try.Status, try.Address)
			}
		}
	}
	d.Record.Say("%d unsafe requests, %d served, %d answered 408, 421, 429 or 503, of which %d have run (one breaks REFUSED)", len(tries), served, refused, broken)
	if served == 0 {
		return false, fmt.Errorf("no request was served")
	}
	return broken > 0, d.CheckAlive()
}
