//go:build review

// Package lib2 has the stand-ins of the cases of the second review: the platform's store,
// workers, clients, a proxy, and the start of the real program as separate processes.
package lib2

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Record writes what was sent, answered and run, one line an event, with the time since its
// creation.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

// NewRecord creates the file.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: file, began: time.Now()}, nil
}

// Now returns the time since the record was created.
func (r *Record) Now() time.Duration { return time.Since(r.began) }

// Add adds a line.
func (r *Record) Add(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, values...))
}

// Say adds a line and prints it.
func (r *Record) Say(format string, values ...any) {
	r.Add(format, values...)
	fmt.Printf(format+"\n", values...)
}

// Close closes the file.
func (r *Record) Close() { _ = r.file.Close() }

// Trouble reports whether the disruption of the case is to be played.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }
