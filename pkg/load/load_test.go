package load

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/umbercrank/umbercrank/pkg/directory"
	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/standin/engine"
	"github.com/umbercrank/umbercrank/pkg/standin/engine/answer"
	"github.com/umbercrank/umbercrank/pkg/standin/service"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// startRouter serves the stand-ins under the paths of the router without admission
// control, and returns the address and the base URL of the stand-in service. With
// double, every service call is executed twice.
func startRouter(t *testing.T, double bool) (string, string) {
	t.Helper()
	settings := engine.DefaultSettings()
	settings.Model.StepBase = time.Millisecond
	e := engine.New(settings)
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		e.Run(ctx)
	}()
	s := service.New(service.DefaultSettings())
	mux := http.NewServeMux()
	mux.Handle("/v1/chat/completions", e.Handler())
	mux.HandleFunc("/v1/services/queue/", func(w http.ResponseWriter, r *http.Request) {
		if double {
			s.Handler().ServeHTTP(httptest.NewRecorder(), r.Clone(r.Context()))
		}
		http.StripPrefix("/v1/services/queue", s.Handler()).ServeHTTP(w, r)
	})
	mux.Handle(service.ExecutionsPath, s.Handler())
	server := httptest.NewServer(mux)
	host := strings.TrimPrefix(server.URL, "http://")
	mux.HandleFunc("/v1/addresses", func(w http.ResponseWriter, _ *http.Request) {
		unreachable := directory.Address{Instance: "gone", Address: "127.0.0.1:1", DataCentre: "a"}
		reachable := directory.Address{Instance: "here", Address: host, DataCentre: "b"}
		_ = json.NewEncoder(w).Encode(directory.Answer{LifetimeSeconds: 1, Incarnation: "I", Window: "0", Addresses: []directory.Address{unreachable, reachable}})
	})
	t.Cleanup(func() {
		server.Close()
		cancel()
		<-stopped
	})
	return host, server.URL
}

func runDemo(t *testing.T, double bool) *Report {
	t.Helper()
	host, base := startRouter(t, double)
	profile, err := LoadProfile("demo")
	if err != nil {
		t.Fatal(err)
	}
	report, err := Run(t.Context(), Options{
		Profile: profile, Addresses: []string{host}, Services: []string{base}, Engines: nil,
		Duration: 400 * time.Millisecond, RateFactor: 2, Seed: 3, Callers: 4,
	})
	if err != nil {
		t.Fatal(err)
	}
	return report
}

func TestRunRetriesAfterUnreachableAddress(t *testing.T) {
	report := runDemo(t, false)
	answered := 0
	for _, c := range report.Classes {
		answered += c.Results[Answered]
	}
	if report.Offered == 0 || answered != report.Offered || report.Violations != 0 || report.Unchecked != "" {
		t.Errorf("report %+v", report)
	}
	var text strings.Builder
	if err := report.WriteText(&text); err != nil || !strings.Contains(text.String(), "live-chat") {
		t.Errorf("%v\n%s", err, text.String())
	}
}

func TestCallerCancelsTryAfterHeaderTimeout(t *testing.T) {
	release := make(chan struct{})
	stalled := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release }))
	defer stalled.Close()
	defer close(release)
	c := &caller{client: stalled.Client()}
	request, err := http.NewRequest(http.MethodGet, stalled.URL, nil)
	if err != nil {
		t.Fatal(err)
	}
	_, cancel, err := c.do(request, time.Millisecond)
	defer cancel()
	if !errors.Is(err, context.Canceled) {
		t.Errorf("error %v", err)
	}
	kind := Kind{Service: &Service{}, Targets: Targets{Deadline: 3000}}
	if kind.headerTimeout() != 1500*time.Millisecond || (&Kind{Chat: &Chat{}}).headerTimeout() != 0 {
		t.Errorf("header timeout %v", kind.headerTimeout())
	}
}

func TestRunReportsDoubleExecutions(t *testing.T) {
	if report := runDemo(t, true); report.Violations == 0 {
		t.Errorf("double executions are not reported: %+v", report)
	}
}

func TestRunRejectsInvalidOptions(t *testing.T) {
	_, err := Run(t.Context(), Options{Addresses: []string{"127.0.0.1:1"}, Duration: 2 * MaxDuration, RateFactor: 1, Callers: 1})
	if !errors.Is(err, fault.New(fault.InvalidSetting, "")) {
		t.Errorf("error %v", err)
	}
}

func TestCheckAnswer(t *testing.T) {
	kind := &Kind{Chat: &Chat{MaxTokens: 3}}
	a := arrival{kind: kind, messages: []answer.Message{{Role: "user", Content: "x y z"}}}
	want := answer.New(a.messages).Text(0, answer.New(a.messages).Length(3))
	tests := []struct {
		name, text, finish string
		result             Result
	}{
		{"whole", want, "length", Answered},
		{"finish", want, "stop", Wrong},
		{"short", want[:len(want)-1], "length", Truncated},
		{"other", "x" + want, "length", Wrong},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			o := &outcome{kind: kind}
			o.checkAnswer(a, transcript{text: []byte(test.text), finish: test.finish})
			if o.result != test.result {
				t.Errorf("result %s (%s), want %s", o.result, o.detail, test.result)
			}
		})
	}
}

func TestAuditReportsViolations(t *testing.T) {
	l := newKeyLedger()
	l.record("once", types.Ran)
	l.record("twice", "")
	l.record("denied", types.NotRun)
	l.record("unclear", types.NotRun)
	l.record("unclear", types.MayHaveRun)
	counts := map[string]int{"once": 1, "twice": 2, "denied": 1, "unclear": 1, "foreign": 5}
	if got := l.audit(counts); len(got) != 2 || !strings.Contains(got[0], "denied") || !strings.Contains(got[1], "twice") {
		t.Errorf("violations %q", got)
	}
}

func TestArrivalProcessFollowsSeedAndRate(t *testing.T) {
	profile, err := LoadProfile("demo")
	if err != nil {
		t.Fatal(err)
	}
	const span = 60 * time.Second
	count := func(seed uint64) (n, inBurst int, last arrival) {
		requests := newArrivalProcess(profile, 1, seed)
		for a := requests.next(); a.at < span; a = requests.next() {
			n++
			if a.at%(6*time.Second) >= 4500*time.Millisecond {
				inBurst++
			}
			last = a
		}
		return n, inBurst, last
	}
	n, inBurst, last := count(5)
	again, _, lastAgain := count(5)
	if n != again || last.at != lastAgain.at || last.account.ID != lastAgain.account.ID {
		t.Errorf("the same seed gave %d and %d requests", n, again)
	}
	// 60/s for 45 s and 180/s for 15 s.
	if n < 5000 || n > 5800 || inBurst < 2500 || inBurst > 2900 {
		t.Errorf("%d requests, %d in bursts", n, inBurst)
	}
}

func TestBuiltInAndInvalidProfiles(t *testing.T) {
	for _, name := range BuiltInProfiles() {
		if _, err := LoadProfile(name); err != nil {
			t.Error(err)
		}
	}
	invalid := map[string]string{
		"rate: 0": "rate", "colour: red": "colour",
		"rate: 1\naccounts: [{id: a}]\nkinds: [{class: c, weight: 1, targets: {deadline_ms: 1}}]": "exactly one",
		"rate: 1\naccounts: [{id: a}]\nkinds: [{class: c, weight: 1, chat: {}}]":                  "deadline_ms",
	}
	for text, want := range invalid {
		_, err := ParseProfile([]byte(text))
		if !errors.Is(err, fault.New(fault.InvalidSetting, "")) || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v", text, err)
		}
	}
}
