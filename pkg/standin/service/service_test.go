package service

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strings"
	"testing"
)

// start serves a service until the test ends and returns it with its base URL.
func start(t *testing.T) (*Service, string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := New(DefaultSettings())
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		_ = s.Serve(ctx, listener)
	}()
	t.Cleanup(func() {
		cancel()
		<-stopped
	})
	return s, "http://" + listener.Addr().String()
}

// call sends one call on a new connection, because net/http may retry a request whose
// reused connection fails.
func call(base, key string) (*http.Response, error) {
	request, err := http.NewRequest("POST", base+"/claim/7", strings.NewReader("body"))
	if err != nil {
		return nil, err
	}
	request.Header.Set(KeyHeader, key)
	request.Close = true
	return http.DefaultClient.Do(request)
}

func TestExecutionsPerKey(t *testing.T) {
	s, base := start(t)
	for _, key := range []string{"a", "b", "a"} {
		response, err := call(base, key)
		if err != nil {
			t.Fatal(err)
		}
		var got Result
		if err := json.NewDecoder(response.Body).Decode(&got); err != nil {
			t.Fatal(err)
		}
		response.Body.Close()
		if got.Echo != "body" || got.Path != "/claim/7" || got.Key != key {
			t.Errorf("result %+v", got)
		}
	}
	if got := s.Executions(); got.Total != 3 || got.Repeated != 1 || got.Keys["a"] != 2 {
		t.Errorf("executions %+v", got)
	}
}

func TestFaults(t *testing.T) {
	one, leaving := 1, true
	tests := []struct {
		name     string
		change   FaultsChange
		reset    bool
		executed int
	}{
		{"reset before", FaultsChange{ResetBefore: &one}, true, 0},
		{"reset after", FaultsChange{ResetAfter: &one}, true, 1},
		{"leaving", FaultsChange{Leaving: &leaving}, false, 0},
		{"crash", FaultsChange{Crash: true}, true, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s, base := start(t)
			s.ApplyFaults(test.change)
			response, err := call(base, "k")
			if (err != nil) != test.reset {
				t.Fatalf("error %v", err)
			}
			if err == nil {
				response.Body.Close()
				if response.StatusCode != 503 || response.Header.Get(StateHeader) != StateLeaving {
					t.Errorf("status %d", response.StatusCode)
				}
			}
			if got := s.Executions().Total; got != test.executed {
				t.Errorf("executed %d times, want %d", got, test.executed)
			}
		})
	}
}
