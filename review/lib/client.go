//go:build review

package lib

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// Host is the host of all routes, Key the key of the tenant "tenant-1".
const (
	Host = "ficu95.example"
	Key  = "xd9dnn2ctnfzs989anu6"
)

var lastID atomic.Int64

// NewID returns the id of a new client attempt.
func NewID(name string) string {
	return fmt.Sprintf("%s-%06d", name, lastID.Add(1))
}

// Get sends a GET request for the platform's checks and returns the status, or 0.
func Get(address, path string) int {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + address + path)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// Header returns the header of a request, without the empty line at its end.
func Header(method, path, id string, deadline time.Duration, more ...string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Umbercrank-Request-Id: %s\r\nX-Umbercrank-Deadline-Ms: %d\r\nAuthorization: Bearer %s\r\n", method, path, Host, id, deadline.Milliseconds(), Key)
	for _, line := range more {
		b.WriteString(line + "\r\n")
	}
	return b.String()
}

// Conn is a connection of a client that it keeps for several requests.
type Conn struct {
	net.Conn
	Reader *bufio.Reader
	// Used counts the answers over the connection.
	Used int
}

// Dial connects to a machine within the second that clients allow.
func Dial(address string) (*Conn, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &Conn{Conn: conn, Reader: bufio.NewReader(conn)}, nil
}

// Answer is an answer that a client has read.
type Answer struct {
	Status     int
	ID, Seal   string
	RetryAfter string
	Body       string
	Close      bool
	// Events counts the events of a stream, LastEvent is the id of the last one.
	Events    int
	LastEvent string
	// Complete reports whether the answer ended as complete.
	Complete bool
}

// Read reads the answer to a request with the method until the deadline.
func (c *Conn) Read(method string, deadline time.Time) (Answer, error) {
	_ = c.SetReadDeadline(deadline)
	response, err := http.ReadResponse(c.Reader, &http.Request{Method: method})
	if err != nil {
		return Answer{}, err
	}
	a := Answer{Status: response.StatusCode, ID: response.Header.Get("X-Umbercrank-Request-Id"), Seal: response.Header.Get("X-Umbercrank-Response-Seal"),
		RetryAfter: response.Header.Get("Retry-After"), Close: response.Close}
	body := bufio.NewReader(response.Body)
	var text strings.Builder
	for {
		line, err := body.ReadString('\n')
		text.WriteString(line)
		if id, ok := strings.CutPrefix(line, "id: "); ok {
			a.LastEvent = strings.TrimSpace(id)
		}
		if line == "\n" {
			a.Events++
		}
		if errors.Is(err, io.EOF) {
			a.Complete, a.Body = true, text.String()
			c.Used++
			return a, nil
		}
		if err != nil {
			a.Body = text.String()
			return a, err
		}
	}
}

// Config returns a configuration with the routes of a small deployment: /chat/ and /draft/ lead to
// the service "pool" of model workers, /deposit/ and /calendar/ to "app".
func Config(version int) map[string]any {
	route := func(name, prefix, kind, service string, timeout, target, priority, attempts int, sticky, resumable bool, gap int) map[string]any {
		return map[string]any{"Name": name, "Host": Host, "Prefix": prefix, "Kind": kind, "Service": service, "TimeoutMs": timeout, "TargetLatencyMs": target,
			"Priority": priority, "MaxAttempts": attempts, "Public": false, "Sticky": sticky, "Resumable": resumable, "GapAimMs": gap}
	}
	return map[string]any{
		"Version": version,
		"Routes": []any{
			route("r-draft", "/draft/", "streaming", "pool", 6000, 600, 1, 1, true, false, 250),
			route("r-chat", "/chat/", "streaming", "pool", 15000, 250, 0, 2, true, true, 150),
			route("r-deposit", "/deposit/", "unsafe", "app", 1500, 300, 2, 1, false, false, 0),
			route("r-calendar", "/calendar/", "safe", "app", 1500, 300, 2, 2, false, false, 0),
		},
		"Services": []any{
			map[string]any{"Name": "pool", "HealthPath": "/health", "MaxConnections": 370, "Protocol": "h1", "Tls": false,
				"EngineType": map[string]any{"SlotCount": 64, "KvCapacity": 258710, "TokenKvBytes": 163840, "LinkMbps": 180000.0, "Stride": 4, "Models": []any{map[string]any{"Name": "m"}}}},
			map[string]any{"Name": "app", "HealthPath": "/health", "MaxConnections": 110, "Protocol": "h1", "Tls": false},
		},
		"Limits":  map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Tenants": []any{map[string]any{"Name": "tenant-1", "ApiKeys": []string{Key}, "Priority": 1}},
	}
}
