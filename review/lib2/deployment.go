//go:build review

package lib2

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"strings"
	"time"
)

// Host and Key are those of the configuration of a Deployment.
const Host, Key = "clinic.example", "k1"

// Deployment is a small deployment: a store, workers and four machines of the system.
type Deployment struct {
	Record *Record
	Store  *Store
	Fleet  *Fleet
	// Pool are the model workers, and API those of the application service.
	Pool, API []*Worker
	prefix    string
	dir       string
	stop      chan struct{}
}

// Zones are those of the deployment.
var Zones = []string{"lac", "charguia", "ariana", "ben-arous"}

// NewDeployment starts a store and workers with the given versions. The machines are not started.
func NewDeployment(number string, pool, api []string) (*Deployment, error) {
	record, err := NewRecord(filepath.Join("review", number, "record.txt"))
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "case"+number)
	if err != nil {
		return nil, err
	}
	d := &Deployment{Record: record, dir: dir, prefix: fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), 1+rand.IntN(250)), stop: make(chan struct{})}
	if d.Store, err = NewStore(net.JoinHostPort(d.prefix+"200", "0"), record); err != nil {
		return nil, err
	}
	d.Store.Put("op/config", configuration())
	for i, version := range pool {
		w, err := NewWorker("umbercrank-pool", fmt.Sprintf("i-%d", i+1), Zones[i%len(Zones)], version, net.JoinHostPort(d.prefix+fmt.Sprint(100+i), "9000"), d.Store, record)
		if err != nil {
			return nil, err
		}
		d.Pool = append(d.Pool, w)
	}
	for i, version := range api {
		w, err := NewWorker("queue-api", fmt.Sprintf("q-%d", i+1), Zones[i%len(Zones)], version, net.JoinHostPort(d.prefix+fmt.Sprint(150+i), "9000"), d.Store, record)
		if err != nil {
			return nil, err
		}
		w.Slots = 6
		d.API = append(d.API, w)
	}
	go func() {
		ticker := time.NewTicker(200 * time.Millisecond)
		defer ticker.Stop()
		for {
			select {
			case <-d.stop:
				return
			case <-ticker.C:
				d.Store.Expire(3*HeartbeatMs + 200*time.Millisecond)
			}
		}
	}()
	hosts := make([]string, 4)
	for i := range hosts {
		hosts[i] = d.prefix + fmt.Sprint(i+1)
	}
	d.Fleet, err = NewFleet(hosts, Zones, d.Store.Address(), dir, record)
	return d, err
}

// Start starts the machines, and returns when they have been ready for some seconds.
func (d *Deployment) Start() error {
	for _, front := range d.Fleet.Fronts {
		if err := front.Start(); err != nil {
			return err
		}
	}
	if err := d.Fleet.AwaitReady(15 * time.Second); err != nil {
		return err
	}
	time.Sleep(4 * time.Second)
	return nil
}

// Close ends everything. With KEEP_LOGS set it keeps the logs of the machines in that folder.
func (d *Deployment) Close() {
	close(d.stop)
	d.Fleet.Stop()
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		for _, front := range d.Fleet.Fronts {
			text, _ := os.ReadFile(filepath.Join(d.dir, front.Name+".log"))
			_ = os.WriteFile(filepath.Join(keep, front.Name+".log"), text, 0o600)
		}
	}
	_ = os.RemoveAll(d.dir)
	d.Record.Close()
}

// CheckAlive returns an error if a machine has ended by itself.
func (d *Deployment) CheckAlive() error {
	for _, front := range d.Fleet.Fronts {
		if front.Ended() {
			return fmt.Errorf("%s has ended", front.Name)
		}
	}
	return nil
}

// configuration is as on the sheet of rappel-tn: a route for streams that may be resumed, one that
// is safe and one that is unsafe.
func configuration() map[string]any {
	route := func(name, prefix, kind, service string, timeout, target, attempts, priority int) map[string]any {
		return map[string]any{"Name": name, "Host": Host, "Prefix": prefix, "Kind": kind, "Service": service, "TimeoutMs": timeout, "TargetLatencyMs": target,
			"MaxAttempts": attempts, "Priority": priority, "Public": false, "Sticky": strings.HasPrefix(prefix, "/st")}
	}
	streams := route("opener-script", "/st1/", "streaming", "umbercrank-pool", 15000, 250, 2, 0)
	streams["Resumable"], streams["GapAimMs"] = true, 150
	return map[string]any{
		"Version": 3,
		"Routes":  []any{streams, route("next-callback", "/un/", "unsafe", "queue-api", 3000, 300, 2, 2), route("callback-status", "/sf/", "safe", "queue-api", 3000, 300, 2, 2)},
		"Services": []any{map[string]any{"Name": "umbercrank-pool", "HealthPath": "/health", "MaxConnections": 370, "EngineType": map[string]any{"SlotCount": 64, "KvCapacity": 368513, "Stride": 4}},
			map[string]any{"Name": "queue-api", "HealthPath": "/health", "MaxConnections": 110}},
		"Limits":  map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Tenants": []any{map[string]any{"Name": "t1", "ApiKeys": []string{Key}, "Priority": 1}},
	}
}

// Main runs a case and exits with its result: 1 if the rule was broken, 0 if it held, 2 if the case
// could not run.
func Main(play func() (violated bool, err error)) {
	violated, err := play()
	switch {
	case err != nil:
		fmt.Println("the case could not run:", err)
		os.Exit(2)
	case violated:
		os.Exit(1)
	}
}
