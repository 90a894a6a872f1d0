package timeline

import (
	"bytes"
	"encoding/json"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/umbercrank/umbercrank/pkg/types"
	_ "github.com/umbercrank/umbercrank/test/fixedseed"
)

// manualClock returns the same time until the test changes it.
type manualClock struct{ now time.Time }

func (c *manualClock) read() time.Time { return c.now }

func TestRingKeepsLatestEvents(t *testing.T) {
	clock := &manualClock{now: time.Unix(100, 0)}
	ring := NewRing("i1", 3, clock.read)
	for _, kind := range []Kind{InstanceStarted, ConfigApplied, RequestArrived, RequestAnswered} {
		ring.Record(Event{Kind: kind})
	}
	events := ring.Events(Stamp{})
	if len(events) != 3 || events[0].Kind != ConfigApplied || events[2].Kind != RequestAnswered {
		t.Fatalf("events %+v", events)
	}
	if rest := ring.Events(events[1].Stamp); len(rest) != 1 || rest[0].Kind != RequestAnswered {
		t.Errorf("events after the second: %+v", rest)
	}
	if events[0].Instance != "i1" {
		t.Errorf("instance %q", events[0].Instance)
	}
}

func TestClockIgnoresStampsFarAhead(t *testing.T) {
	clock := &manualClock{now: time.Unix(100, 0)}
	c := NewClock(clock.read)
	c.Observe(Stamp{Wall: clock.now.Add(time.Hour).UnixNano()})
	if got := c.Now().Wall; got != clock.now.UnixNano() {
		t.Errorf("wall %d", got)
	}
}

// TestStampsPreserveCausalOrder checks that the receiver of a message stamps its next
// event later than the sender stamped the message, even if the wall clocks of the
// instances differ by up to 4 s.
func TestStampsPreserveCausalOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		walls := make([]*manualClock, 3)
		clocks := make([]*Clock, 3)
		last := make([]Stamp, 3)
		for i := range walls {
			skew := time.Duration(rapid.IntRange(-2000, 2000).Draw(t, "skew")) * time.Millisecond
			walls[i] = &manualClock{now: time.Unix(100, 0).Add(skew)}
			clocks[i] = NewClock(walls[i].read)
		}
		for range 50 {
			from := rapid.IntRange(0, 2).Draw(t, "from")
			to := rapid.IntRange(0, 2).Draw(t, "to")
			walls[from].now = walls[from].now.Add(time.Duration(rapid.IntRange(0, 5).Draw(t, "pass")) * time.Millisecond)
			sent := clocks[from].Now()
			clocks[to].Observe(sent)
			received := clocks[to].Now()
			if !sent.Before(received) || !last[from].Before(sent) || !last[to].Before(received) {
				t.Fatalf("sent %v, received %v, last %v", sent, received, last)
			}
			last[from], last[to] = sent, received
		}
	})
}

func TestMergeSortsAndRemovesDuplicates(t *testing.T) {
	a := Event{Stamp: Stamp{Wall: 1}, Instance: "a", Kind: RequestArrived, Request: "r"}
	b := Event{Stamp: Stamp{Wall: 1, Logical: 1}, Instance: "b", Kind: RequestGranted, Request: "r"}
	c := Event{Stamp: Stamp{Wall: 2}, Instance: "a", Kind: RequestAnswered, Request: "q"}
	merged := Merge([]Event{a, c}, []Event{b}, []Event{c})
	if len(merged) != 3 || merged[0] != a || merged[1] != b || merged[2] != c {
		t.Fatalf("merged %+v", merged)
	}
	if got := ForRequest(merged, "r"); len(got) != 2 {
		t.Errorf("events of r: %+v", got)
	}
}

func TestWriteTextAndHTML(t *testing.T) {
	events := []Event{
		{Stamp: Stamp{Wall: 1e9, Logical: 2}, Instance: "i1", Kind: RequestRefused, Request: "r1", Tier: 3, Code: "overloaded", Took: time.Millisecond, Detail: "</script>"},
		{Stamp: Stamp{Wall: 2e9}, Instance: "i2", Kind: ConfigApplied, Revision: 4},
	}
	var text, html bytes.Buffer
	if err := WriteText(&text, events); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"00:00:01.000000+2", "request=r1 tier=3 code=overloaded took=1ms", "revision=4"} {
		if !strings.Contains(text.String(), want) {
			t.Errorf("text lacks %q:\n%s", want, text.String())
		}
	}
	if err := WriteHTML(&html, events); err != nil {
		t.Fatal(err)
	}
	if strings.Count(html.String(), "</script>") != 1 || !strings.Contains(html.String(), `"lanes":["i1","i2"]`) {
		t.Errorf("page does not embed the events safely:\n%s", html.String())
	}
}

func TestHandlerServesEventsAfterStamp(t *testing.T) {
	clock := &manualClock{now: time.Unix(0, 50)}
	ring := NewRing("i1", 8, clock.read)
	ring.Record(Event{Kind: InstanceStarted})
	ring.Record(Event{Kind: ConfigApplied})
	get := func(query string) *httptest.ResponseRecorder {
		w := httptest.NewRecorder()
		ring.Handler().ServeHTTP(w, httptest.NewRequest("GET", Path+query, nil))
		return w
	}
	var page Response
	if err := json.Unmarshal(get("?after_wall=50&after_logical=0").Body.Bytes(), &page); err != nil {
		t.Fatal(err)
	}
	if page.Instance != types.InstanceID("i1") || len(page.Events) != 1 || page.Events[0].Kind != ConfigApplied {
		t.Errorf("page %+v", page)
	}
	if code := get("?after_wall=x").Code; code != 400 {
		t.Errorf("status %d", code)
	}
}
