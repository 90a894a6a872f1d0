package prove

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/umbercrank/umbercrank/pkg/history"
	"github.com/umbercrank/umbercrank/pkg/types"
	"github.com/umbercrank/umbercrank/pkg/upstream"
	"github.com/umbercrank/umbercrank/test/httpfakes"
)

const (
	// answerCalls is the number of requests in one run.
	answerCalls = 120
	// answerTokens is the length of each answer.
	answerTokens = 30
)

// answersRun is the state of TestAnswers for one seed.
type answersRun struct {
	*entryHarness
	mu       sync.Mutex
	answers  []history.Answer
	complete int
	faults   int
}

// TestAnswers checks that every caller receives a complete answer or learns that it
// is incomplete, while engines fail and crash, attempts are preempted and an entry
// drains.
func TestAnswers(t *testing.T) {
	total := result{}
	for _, seed := range seeds(t) {
		synctest.Test(t, func(t *testing.T) { total.add(proveAnswers(t, seed)) })
	}
	report(t, "answers", total)
}

func proveAnswers(t *testing.T, seed uint64) result {
	run := &answersRun{entryHarness: newEntryHarness(t, seed, 2, 4, 0.3)}
	defer run.close()
	for _, u := range run.upstreams {
		u.Tokens = answerTokens
	}
	for _, instance := range run.entries {
		run.schedulePreemptions(instance)
	}
	var group sync.WaitGroup
	run.scheduleFaults(&group)
	for number := range answerCalls {
		run.call(&group, number)
	}
	group.Wait()
	violations, checked := history.Answers(run.answers)
	for _, violation := range violations {
		t.Logf("seed %d: %v", seed, violation)
	}
	if run.complete == 0 {
		t.Errorf("seed %d: no answer was complete", seed)
	}
	return result{runs: 1, faults: run.faults + run.plan.Count(), checked: checked, violations: len(violations)}
}

// schedulePreemptions preempts one in five grants after a random time.
func (r *answersRun) schedulePreemptions(instance *entryInstance) {
	instance.granter.PreemptAfter = func() time.Duration {
		if r.plan.IntN(5) > 0 {
			return 0
		}
		r.countFault()
		return time.Duration(1 + r.plan.IntN(int(400*time.Millisecond)))
	}
}

// scheduleFaults schedules crashes of engines and drains one entry.
func (r *answersRun) scheduleFaults(group *sync.WaitGroup) {
	for range 8 {
		at := time.Duration(r.random.Int64N(int64(20 * time.Second)))
		u := r.upstreams[r.random.IntN(len(r.upstreams))]
		group.Go(func() {
			time.Sleep(at)
			r.countFault()
			u.Crash()
		})
	}
	group.Go(func() {
		time.Sleep(15 * time.Second)
		r.countFault()
		if err := r.entries["e0"].entry.Drain(context.Background()); err != nil {
			r.t.Error(err)
		}
	})
}

func (r *answersRun) countFault() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults++
}

// call sends one chat, streamed or not. Some callers read slowly and some cancel.
func (r *answersRun) call(group *sync.WaitGroup, number int) {
	host := fmt.Sprintf("e%d", r.random.IntN(2))
	begin := time.Duration(r.random.Int64N(int64(20 * time.Second)))
	c := &answerCaller{
		stream: r.random.IntN(4) > 0,
		prompt: fmt.Sprintf("p%d", number),
	}
	if r.random.IntN(5) == 0 {
		c.readDelay = time.Duration(r.random.Int64N(int64(time.Second)))
	}
	if r.random.IntN(6) == 0 {
		c.cancelAfter = time.Duration(r.random.Int64N(int64(time.Second)))
	}
	group.Go(func() {
		time.Sleep(begin)
		r.recordAnswer(r.request(host, c))
	})
}

func (r *answersRun) recordAnswer(answer history.Answer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answers = append(r.answers, answer)
	if answer.End == history.AnswerComplete {
		r.complete++
	}
}

// answerCaller describes how one caller sends its request and reads the answer.
type answerCaller struct {
	stream bool
	prompt string
	// readDelay is the delay before each read.
	readDelay time.Duration
	// cancelAfter is the time after which the caller cancels; zero means never.
	cancelAfter time.Duration
}

// request sends one chat as c describes and returns the recorded answer.
func (h *entryHarness) request(host string, c *answerCaller) history.Answer {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if c.cancelAfter > 0 {
		time.AfterFunc(c.cancelAfter, cancel)
	}
	answer := history.Answer{Request: types.RequestID(c.prompt), Want: httpfakes.Answer(c.prompt, answerTokens)}
	header := http.Header{"Content-Type": []string{"application/json"}}
	response, err := h.open(ctx, host, http.MethodPost, "/v1/chat/completions", chatBody(c.prompt, c.stream), header)
	if err != nil {
		answer.End = history.AnswerFailed
	} else {
		defer response.Body.Close()
		c.read(response, &answer)
	}
	if ctx.Err() != nil {
		answer.End = history.AnswerAbandoned
	}
	return answer
}

// read reads the answer as a client library does.
func (c *answerCaller) read(response *http.Response, answer *history.Answer) {
	body := &slowReader{from: response.Body, readDelay: c.readDelay}
	switch {
	case response.StatusCode != http.StatusOK:
		answer.End = history.AnswerFailed
	case c.stream:
		answer.Got, answer.End = readStream(body)
	default:
		answer.Got, answer.End = readWhole(body)
	}
}

func readStream(body io.Reader) (string, history.AnswerEnd) {
	events := upstream.NewEventReader(body)
	var text strings.Builder
	for {
		payload, err := events.Next()
		if err == io.EOF {
			return text.String(), history.AnswerTruncated
		}
		if err != nil {
			return text.String(), history.AnswerFailed
		}
		if bytes.Equal(payload, upstream.DonePayload) {
			return text.String(), history.AnswerComplete
		}
		chunk, err := upstream.ParseChunk(payload)
		if err != nil {
			return text.String(), history.AnswerFailed
		}
		text.WriteString(chunk.Text())
	}
}

func readWhole(body io.Reader) (string, history.AnswerEnd) {
	var completion struct {
		Choices []struct {
			Message struct {
				Content string `json:"content"`
			} `json:"message"`
		} `json:"choices"`
	}
	if err := json.NewDecoder(body).Decode(&completion); err != nil || len(completion.Choices) == 0 {
		return "", history.AnswerFailed
	}
	return completion.Choices[0].Message.Content, history.AnswerComplete
}

// slowReader delays each read.
type slowReader struct {
	from      io.Reader
	readDelay time.Duration
}

// Read implements io.Reader.
func (s *slowReader) Read(p []byte) (int, error) {
	time.Sleep(s.readDelay)
	return s.from.Read(p)
}
