//go:build review

package lib2

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func isReady(address string) bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + address + "/readiness")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// Clients finds machines through the directory and sends requests.
type Clients struct {
	Host, Key string
	Deadline  time.Duration
	// Retries is how often a client retries within its deadline.
	Retries int
	// Pause is how long a client waits before it takes up a stream that has broken off.
	Pause time.Duration
	// BreakOff, if set, ends the connections that are open when it is done.
	BreakOff context.Context
	// Abandon is the gap after which a client abandons a stream.
	Abandon time.Duration

	fleet  *Fleet
	record *Record
	count  atomic.Int64

	mu        sync.Mutex
	addresses []string
	expires   time.Time
}

// NewClients returns clients of a fleet.
func NewClients(fleet *Fleet, record *Record, host, key string) *Clients {
	return &Clients{Host: host, Key: key, Deadline: 15 * time.Second, Retries: 3, Abandon: 2 * time.Second, fleet: fleet, record: record}
}

// resolve returns the addresses of the machines.
func (c *Clients) resolve() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Now().Before(c.expires) {
		return c.addresses
	}
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for _, i := range rand.Perm(len(c.fleet.Fronts))[:min(3, len(c.fleet.Fronts))] {
		response, err := client.Get("http://" + c.fleet.Fronts[i].Directory() + "/resolve?Name=" + c.Host + "&Region=tunis&Zone=lac")
		if err != nil {
			continue
		}
		var found struct {
			Addresses []string
			TtlS      float64
		}
		err = json.NewDecoder(response.Body).Decode(&found)
		_ = response.Body.Close()
		if err == nil && len(found.Addresses) > 0 {
			c.addresses, c.expires = found.Addresses, time.Now().Add(time.Duration(found.TtlS*float64(time.Second)))
			break
		}
	}
	return c.addresses
}

// pick returns an address, rather not one that has failed the client.
func (c *Clients) pick(failed map[string]bool) string {
	all := c.resolve()
	var good []string
	for _, address := range all {
		if !failed[address] {
			good = append(good, address)
		}
	}
	if len(good) == 0 {
		good = all
	}
	if len(good) == 0 {
		return ""
	}
	return good[rand.IntN(len(good))]
}

// Try is one client attempt.
type Try struct {
	ID, Address string
	// Status is zero if there was no answer.
	Status int
	// Complete reports whether the whole answer arrived.
	Complete   bool
	Events     int
	RetryAfter time.Duration
	Err        error
	Sealed     bool
	Body       string
	SentAt     time.Duration
}

// Result is what a client got for a request.
type Result struct {
	Path  string
	Tries []Try
	// Versions and Workers are those that wrote the events of the stream, in order.
	Versions, Workers []string
	// Order is the first violation of the order of the events, or empty.
	Order string
	next  int
}

// Last returns the last attempt.
func (r *Result) Last() Try { return r.Tries[len(r.Tries)-1] }

// Stream sends a request for a stream and takes it up again when it breaks off.
func (c *Clients) Stream(ctx context.Context, path, hash string) *Result {
	began := time.Now()
	result := &Result{Path: path}
	failed := make(map[string]bool)
	beginner := ""
	for attempt := 0; attempt <= c.Retries; attempt++ {
		remaining := c.Deadline - time.Since(began)
		address := c.pick(failed)
		if remaining <= 0 || address == "" || ctx.Err() != nil {
			break
		}
		header := http.Header{"X-Umbercrank-Model-Name": {"m"}, "X-Umbercrank-Token-Usage": {"828,292"}, "X-Umbercrank-Prefix-Hash": {hash}}
		if beginner != "" {
			header.Set("Last-Event-Id", strconv.Itoa(result.next-1))
			header.Set("Resumes", beginner)
		}
		try := c.once(ctx, address, http.MethodPost, path, header, "prompt", remaining, result)
		result.Tries = append(result.Tries, try)
		if try.Events > 0 && beginner == "" {
			beginner = try.ID
		}
		switch {
		case try.Complete && try.Status < 300:
			return result
		case try.Status == 400, try.Status == 401, try.Status == 404:
			return result
		case try.Status == 0:
			failed[address] = true
		}
		wait := min(try.RetryAfter, (c.Deadline-time.Since(began))/3)
		if try.Events > 0 {
			wait = c.Pause
		}
		select {
		case <-time.After(wait):
		case <-ctx.Done():
		}
	}
	return result
}

// Once sends a request once, on a connection of its own.
func (c *Clients) Once(ctx context.Context, address, method, path, body string, deadline time.Duration) Try {
	return c.once(ctx, address, method, path, make(http.Header), body, deadline, &Result{})
}

// Pick returns the address of a machine from the directory.
func (c *Clients) Pick() string { return c.pick(nil) }

// NextID returns a new request ID.
func (c *Clients) NextID() string { return fmt.Sprintf("%08x%08x", rand.Uint32(), c.count.Add(1)) }

func (c *Clients) once(ctx context.Context, address, method, path string, header http.Header, body string, remaining time.Duration, result *Result) (try Try) {
	try.ID, try.Address, try.SentAt = c.NextID(), address, c.record.Now()
	defer func() {
		c.record.Add("client: %s %s %s at %s sent %.3f resumes %q after %q -> status %d complete %v events %d retry %v err %v", try.ID, method, path, address, try.SentAt.Seconds(),
			header.Get("Resumes"), header.Get("Last-Event-Id"), try.Status, try.Complete, try.Events, try.RetryAfter, try.Err)
	}()
	ctx, cancel := context.WithTimeout(ctx, remaining)
	defer cancel()
	dialer := net.Dialer{Timeout: time.Second}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		try.Err = err
		return try
	}
	defer conn.Close()
	if c.BreakOff != nil && c.BreakOff.Err() == nil {
		defer context.AfterFunc(c.BreakOff, func() { _ = conn.Close() })()
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	request, err := http.NewRequest(method, "http://"+c.Host+path, strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	request.Header = header.Clone()
	request.Header.Set("X-Umbercrank-Request-Id", try.ID)
	request.Header.Set("X-Umbercrank-Deadline-Ms", strconv.FormatInt(remaining.Milliseconds(), 10))
	request.Header.Set("Authorization", "Bearer "+c.Key)
	if body == "" {
		request.Body = http.NoBody
	}
	if err := request.Write(conn); err != nil {
		try.Err = err
		return try
	}
	reader := bufio.NewReader(conn)
	if IsStream(path) {
		_ = conn.SetReadDeadline(time.Now().Add(c.Abandon))
	}
	response, err := http.ReadResponse(reader, request)
	if err != nil {
		try.Err = err
		return try
	}
	try.Status, try.Sealed = response.StatusCode, response.Header.Get("X-Umbercrank-Response-Seal") != ""
	if seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil {
		try.RetryAfter = time.Duration(seconds * float64(time.Second))
	}
	if !IsStream(path) || response.StatusCode >= 300 {
		text, err := io.ReadAll(response.Body)
		try.Body, try.Err, try.Complete = string(text), err, err == nil
		return try
	}
	lines := bufio.NewReader(response.Body)
	id := -1
	for {
		line, err := lines.ReadString('\n')
		if errors.Is(err, io.EOF) && line == "" {
			try.Complete = true
			if result.Order == "" && result.next != Events(nameOf(result, try)) {
				result.Order = fmt.Sprintf("ended as complete after %d of %d events", result.next, Events(nameOf(result, try)))
			}
			return try
		}
		if err != nil {
			try.Err = err
			return try
		}
		if text, ok := strings.CutPrefix(line, "id: "); ok {
			id, _ = strconv.Atoi(strings.TrimSpace(text))
		}
		if text, ok := strings.CutPrefix(line, "data: "); ok {
			_ = conn.SetReadDeadline(time.Now().Add(c.Abandon))
			try.Events++
			fields := strings.Fields(text)
			if id != result.next && result.Order == "" {
				result.Order = fmt.Sprintf("event %d in place of %d", id, result.next)
			}
			if fields[0] != nameOf(result, try) && result.Order == "" {
				result.Order = "an event of " + fields[0]
			}
			result.next = id + 1
			result.Versions = appendNew(result.Versions, fields[2])
			result.Workers = appendNew(result.Workers, fields[3])
		}
	}
}

// nameOf returns the name of a stream: the ID of the attempt that brought its first event.
func nameOf(result *Result, try Try) string {
	for _, earlier := range result.Tries {
		if earlier.Events > 0 {
			return earlier.ID
		}
	}
	return try.ID
}

func appendNew(list []string, value string) []string {
	if len(list) > 0 && list[len(list)-1] == value {
		return list
	}
	return append(list, value)
}
