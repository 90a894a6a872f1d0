package entry

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/umbercrank/umbercrank/pkg/dispatch"
	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/overload"
	"github.com/umbercrank/umbercrank/pkg/pool"
	"github.com/umbercrank/umbercrank/pkg/types"
	"github.com/umbercrank/umbercrank/test/httpfakes"
)

// refuseFirst returns a function that refuses the first request and accepts the
// others.
func refuseFirst() func(pool.Request) error {
	first := true
	return func(pool.Request) error {
		if !first {
			return nil
		}
		first = false
		return fault.New(fault.Overloaded, "the queue is full")
	}
}

func TestDrainCompletesInFlightRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, httpfakes.NewUpstream("u1"))
		answered := make(chan string)
		go func() { answered <- f.send("POST", chatURL, chatJSON("a", `,"stream":true`)).Body.String() }()
		synctest.Wait()
		drained := make(chan error, 1)
		go func() { drained <- f.entry.Drain(context.Background()) }()
		synctest.Wait()
		w := f.send("POST", chatURL, chatJSON("b", ""))
		if w.Code != 503 || w.Header().Get("Retry-After") == "" || !strings.Contains(w.Body.String(), `"code":"leaving"`) {
			t.Fatalf("while leaving: %d %s", w.Code, w.Body)
		}
		if text, done := streamText(t, <-answered); text != httpfakes.Answer("a", 5) || !done {
			t.Fatalf("in flight: %q %v", text, done)
		}
		if err := <-drained; err != nil {
			t.Fatal(err)
		}
	})
}

// blockedWriter simulates a caller that stops reading: every Write blocks until the
// write deadline.
type blockedWriter struct {
	header   http.Header
	deadline time.Time
}

func (w *blockedWriter) Header() http.Header { return w.header }
func (w *blockedWriter) WriteHeader(int)     {}
func (w *blockedWriter) Flush()              {}
func (w *blockedWriter) SetWriteDeadline(at time.Time) error {
	w.deadline = at
	return nil
}
func (w *blockedWriter) Write([]byte) (int, error) {
	time.Sleep(time.Until(w.deadline))
	return 0, context.DeadlineExceeded
}

func TestBlockedCallerReleasesUpstream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := httpfakes.NewUpstream("u1")
		u.Tokens = 1_000_000
		f := newFixture(t, u)
		request := newChat("a")
		started := time.Now()
		f.entry.Handler().ServeHTTP(&blockedWriter{header: http.Header{}}, request)
		if took := time.Since(started); took > 2*DefaultSettings().WriteTimeout {
			t.Fatalf("held the upstream for %v", took)
		}
		if ends := f.granter.Finished(); len(ends) != 1 || ends[0].Reason != pool.FinishCancelled {
			t.Fatalf("ends %+v", ends)
		}
	})
}

func TestCallerDisconnectCancelsAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := httpfakes.NewUpstream("u1")
		u.Tokens = 1000
		f := newFixture(t, u)
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(time.Second, cancel)
		f.serve(newChat("a").WithContext(ctx))
		if ends := f.granter.Finished(); len(ends) != 1 || ends[0].Reason != pool.FinishCancelled {
			t.Fatalf("ends %+v", ends)
		}
	})
}

func TestNonResumableStreamEndsWithError(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := httpfakes.NewUpstream("u1")
		u.Tokens = 50
		f := newFixture(t, u)
		time.AfterFunc(100*time.Millisecond, u.Crash)
		w := f.send("POST", chatURL, chatJSON("a", `,"stream":true,"n":2`))
		body := w.Body.String()
		if strings.Contains(body, "[DONE]") || !strings.Contains(body, `"code":"upstream_failed"`) {
			t.Fatalf("%s", body)
		}
	})
}

func TestExpiredLeaseSendsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := httpfakes.NewUpstream("u1")
		f := newFixture(t, u)
		f.granter.Lease = time.Second
		f.granter.BeforeExpiryCheck = func() { time.Sleep(2 * time.Second) }
		w := f.postClaim(ownKey, "x")
		if w.Code != 503 || !strings.Contains(w.Body.String(), `"run_state":"not_run"`) {
			t.Fatalf("%d %s", w.Code, w.Body)
		}
		if u.ExecutionCount(ownKey) != 0 {
			t.Fatal("executed after the lease")
		}
	})
}

func TestRequestStatus(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, httpfakes.NewUpstream("u1"))
		id := f.send("POST", chatURL, chatJSON("a", "")).Header().Get("X-Request-Id")
		w := f.send("GET", "/v1/requests/"+id, "")
		if w.Code != 200 || !strings.Contains(w.Body.String(), `"state":"answered"`) || !strings.Contains(w.Body.String(), `"run_state":"ran"`) {
			t.Fatalf("%d %s", w.Code, w.Body)
		}
	})
}

func TestWriteDeadlineDoesNotAffectNextResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := httpfakes.NewUpstream("u1")
		f := newFixture(t, u)
		f.network.Serve("entry", f.entry.Handler(), nil)
		client := f.network.Transport("caller", "caller", false)
		client.DisableKeepAlives = false
		post := func(body string) string {
			request, err := http.NewRequest("POST", "http://entry"+chatURL, strings.NewReader(body))
			if err != nil {
				t.Fatal(err)
			}
			request.Header.Set("Authorization", "Bearer good")
			response, err := client.RoundTrip(request)
			if err != nil {
				t.Fatal(err)
			}
			defer response.Body.Close()
			answer, err := io.ReadAll(response.Body)
			if err != nil {
				t.Fatal(err)
			}
			return string(answer)
		}
		post(chatJSON("a", `,"stream":true`))
		post(chatJSON("a", ""))
		u.TokenInterval = DefaultSettings().WriteTimeout / 3
		if got := post(chatJSON("b", "")); !strings.Contains(got, httpfakes.Answer("b", 5)) {
			t.Fatalf("%s", got)
		}
	})
}

// fullPool is a Granter whose requests wait.
type fullPool struct{}

func (fullPool) Acquire(ctx context.Context, _ types.TargetName, _ pool.Request) (dispatch.Grant, error) {
	<-ctx.Done()
	return nil, fault.New(fault.CallerGone, "the request was withdrawn").WithRunState(types.NotRun)
}

// TestStopAnswersRequestsThatItEnds guards against requests that a planned stop cuts without a
// response.
func TestStopAnswersRequestsThatItEnds(t *testing.T) {
	for name, c := range map[string]struct {
		path, body string
		status     int
		state      types.RunState
	}{
		"chat":    {chatURL, chatJSON("a", ""), http.StatusGatewayTimeout, types.MayHaveRun},
		"stream":  {chatURL, chatJSON("a", `,"stream":true`), http.StatusOK, types.MayHaveRun},
		"waiting": {chatURL, chatJSON("a", ""), http.StatusGatewayTimeout, types.NotRun},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				u := httpfakes.NewUpstream("u1")
				u.Tokens = 1_000_000
				f := newFixtureWith(t, func(o *Options) {
					if c.state == types.NotRun {
						o.Granter = fullPool{}
					}
				}, u)
				answered := make(chan *httptest.ResponseRecorder)
				go func() { answered <- f.send("POST", c.path, c.body) }()
				time.Sleep(time.Second)
				synctest.Wait()
				f.entry.End()
				if err := f.entry.Drain(t.Context()); err != nil {
					t.Fatal(err)
				}
				got := <-answered
				if got.Code != c.status || !strings.Contains(got.Body.String(), `"run_state":"`+string(c.state)+`"`) {
					t.Errorf("got %d %.300s", got.Code, got.Body)
				}
			})
		})
	}
}

// TestOverloadedInstanceRefusesBeforeItQueues checks what callers of an instance get that is late with
// its work.
func TestOverloadedInstanceRefusesBeforeItQueues(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := httpfakes.NewUpstream("u1")
		limiter := overload.NewLimiter()
		f := newFixtureWith(t, func(o *Options) { o.Overload = limiter }, u)
		for range 1000 {
			limiter.Admit(7, 0)
			limiter.Observe(time.Minute)
		}
		refused, served := 0, 0
		for n := range 100 {
			got := f.send("POST", chatURL, chatJSON(strconv.Itoa(n), ""))
			switch {
			case got.Code == http.StatusOK:
				served++
			case got.Code != http.StatusServiceUnavailable || got.Header().Get("Retry-After") == "" || !strings.Contains(got.Body.String(), `"run_state":"not_run"`):
				t.Fatalf("got %d %s", got.Code, got.Body)
			default:
				refused++
			}
		}
		if refused < 80 || len(u.Executions()) != served {
			t.Errorf("%d refused, %d served, %d executed", refused, served, len(u.Executions()))
		}
	})
}
