package entry

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/umbercrank/umbercrank/pkg/config"
	"github.com/umbercrank/umbercrank/pkg/pool"
	"github.com/umbercrank/umbercrank/pkg/quarantine"
	"github.com/umbercrank/umbercrank/pkg/timeline"
	"github.com/umbercrank/umbercrank/pkg/upstream"
	"github.com/umbercrank/umbercrank/test/httpfakes"
)

// eventRecorder keeps the events.
type eventRecorder struct {
	mu     sync.Mutex
	events []timeline.Event
}

func (r *eventRecorder) Record(event timeline.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events = append(r.events, event)
}

func (r *eventRecorder) last(kind timeline.Kind) timeline.Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	var found timeline.Event
	for _, event := range r.events {
		if event.Kind == kind {
			found = event
		}
	}
	return found
}

// chatWith returns a chat whose first message is the document.
func chatWith(document, question string) string {
	return fmt.Sprintf(`{"model":"m","messages":[{"role":"user","content":%q},{"role":"user","content":%q}]}`, document, question)
}

func documentPart(document string) []quarantine.Fingerprint {
	return []quarantine.Fingerprint{quarantine.FingerprintOfMessage(fmt.Appendf(nil, `{"role":"user","content":%q}`, document))}
}

// convict convicts a document of crashing upstreams.
func (f *fixture) convict(document string) {
	for range 5 {
		f.entry.quarantine.RecordPartCrash(documentPart(document), "u1", 0)
		time.Sleep(10 * time.Second)
	}
}

func TestConvictedPartIsRefusedWithoutARun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := httpfakes.NewUpstream("u1")
		f := newFixture(t, u)
		recorder := &eventRecorder{}
		f.entry.options.Recorder = recorder
		f.convict("bad")
		w := f.send("POST", chatURL, chatWith("bad", "q"))
		if w.Code != http.StatusUnprocessableEntity || !strings.Contains(w.Body.String(), `"not_run"`) || w.Header().Get("Retry-After") == "" {
			t.Errorf("%d %v %s", w.Code, w.Header(), w.Body)
		}
		event := recorder.last(timeline.Quarantined)
		if !strings.Contains(event.Detail, fmt.Sprintf("%x", documentPart("bad")[0][:])) || !strings.Contains(event.Detail, "u1") {
			t.Errorf("the event does not name the part and its crashes: %+v", event)
		}
		if got := f.send("POST", chatURL, chatWith("good", "q")); got.Code != http.StatusOK {
			t.Errorf("another document: %d %s", got.Code, got.Body)
		}
		if got := f.send("POST", chatURL, chatWith("good", "bad")); got.Code != http.StatusOK {
			t.Errorf("the last message counts: %d %s", got.Code, got.Body)
		}
		f.network.Close()
	})
}

func TestRequestThatWaitedDuringTheConvictionIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := httpfakes.NewUpstream("u1")
		f := newFixture(t, u)
		f.granter.Refuse = func(pool.Request) error {
			f.granter.Refuse = nil
			f.convict("bad")
			return nil
		}
		w := f.send("POST", chatURL, chatWith("bad", "q"))
		if w.Code != http.StatusUnprocessableEntity || !strings.Contains(w.Body.String(), `"not_run"`) || len(u.Executions()) != 0 {
			t.Errorf("%d %s, %d runs", w.Code, w.Body, len(u.Executions()))
		}
		f.network.Close()
	})
}

func TestOnlyADownUpstreamCountsAgainstParts(t *testing.T) {
	for _, downtime := range []time.Duration{0, time.Second} {
		synctest.Test(t, func(t *testing.T) {
			u := httpfakes.NewUpstream("u1")
			u.Downtime = downtime
			f := newFixture(t, u)
			f.send("POST", chatURL, chatWith(httpfakes.PoisonMarker, "q"))
			synctest.Wait()
			if suspected := f.suspects(httpfakes.PoisonMarker); suspected != (downtime > 0) {
				t.Errorf("downtime %v: suspected %v", downtime, suspected)
			}
			f.network.Close()
		})
	}
}

// suspects reports whether two more crashes convict the document, which are not enough by
// themselves.
func (f *fixture) suspects(document string) bool {
	for range 2 {
		time.Sleep(10 * time.Second)
		f.entry.quarantine.RecordPartCrash(documentPart(document), "u1", 0)
	}
	_, refused := f.entry.quarantine.PeekPart(documentPart(document))
	return refused
}

func TestOnlyAGeneratedAnswerClearsParts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, httpfakes.NewUpstream("u1"))
		f.convict("bad")
		req := &request{parts: documentPart("bad")}
		to := config.Upstream{ID: "u1"}
		f.entry.judgeParts(req, to, attemptStats{}, attemptResult{reason: pool.FinishComplete}, time.Now())
		if _, refused := f.entry.quarantine.PeekPart(req.parts); !refused {
			t.Error("an answer without a token cleared the part")
		}
		f.entry.judgeParts(req, to, attemptStats{tokens: 1}, attemptResult{reason: pool.FinishComplete}, time.Now())
		if _, refused := f.entry.quarantine.PeekPart(req.parts); refused {
			t.Error("a complete answer did not clear the part")
		}
		f.network.Close()
	})
}

func TestOldAnswersAreNotImplicated(t *testing.T) {
	now := time.Now()
	for age, want := range map[time.Duration]bool{quarantine.BeginningTime / 2: true, quarantine.BeginningTime: false} {
		if got := (attemptStats{tokens: 1, firstTokenAt: now.Add(-age)}).mayHaveCrashed(now); got != want {
			t.Errorf("age %v: %v", age, got)
		}
	}
	if !(attemptStats{}).mayHaveCrashed(now) {
		t.Error("an attempt without a token is not implicated")
	}
}

func TestPartsOfAPromptAreBounded(t *testing.T) {
	messages := strings.Repeat(`{"role":"user","content":"x"},`, 2*maxPromptParts)
	chat, err := upstream.ParseChat([]byte(`{"model":"m","messages":[` + messages + `{"role":"user","content":"last"}]}`))
	if err != nil || len(promptParts(chat)) != maxPromptParts {
		t.Fatal(err, len(promptParts(chat)))
	}
}

func TestUpstreamWithMalformedAddressIsNotDown(t *testing.T) {
	e := &Entry{}
	if e.isDown(config.Upstream{URL: "http://%"}) {
		t.Error("a malformed address is down")
	}
}

func TestAttemptThatFailsBeforeItsResponseHasNoTokens(t *testing.T) {
	x := &streamExchange{chat: &upstream.ChatRequest{}, req: &request{}}
	x.clock = attemptClock{started: time.Now()}
	x.clock.countToken()
	if _, err := x.call(config.Upstream{URL: "http://u1"}); err != nil {
		t.Fatal(err)
	}
	if stats := x.stats(); stats.tokens != 0 || !stats.mayHaveCrashed(time.Now().Add(time.Hour)) {
		t.Errorf("measurements of the attempt before: %+v", stats)
	}
}
