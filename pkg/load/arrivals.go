package load

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/umbercrank/umbercrank/pkg/standin/engine/answer"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// Parameters of the log-normal distribution of prompt lengths.
const (
	promptSigma     = 0.5
	maxPromptTokens = 8000
)

// arrival is one request to be sent.
type arrival struct {
	// at is the scheduled send time, relative to the start of the load.
	at      time.Duration
	number  int
	kind    *Kind
	account *Account
	// messages is the conversation of a chat request.
	messages []answer.Message
	// path and body belong to a service call.
	path string
	body string
}

// arrivalProcess generates the requests of a profile in order of their scheduled
// times, as a Poisson process with a higher rate during bursts. It does no I/O,
// and the same seed gives the same requests. It is not safe for concurrent use.
type arrivalProcess struct {
	profile *Profile
	factor  float64
	random  *rand.Rand
	now     time.Duration
	number  int
}

func newArrivalProcess(profile *Profile, factor float64, seed uint64) *arrivalProcess {
	return &arrivalProcess{profile: profile, factor: factor, random: rand.New(rand.NewPCG(seed, 1))}
}

// next returns the next request. It uses thinning: candidates are generated at the
// peak rate, and each is accepted with probability current rate / peak rate.
func (a *arrivalProcess) next() arrival {
	peak := a.profile.Rate * a.factor * math.Max(1, a.profile.Burst.Factor)
	for {
		gap := a.random.ExpFloat64() / peak
		a.now += time.Duration(gap * float64(time.Second))
		if a.random.Float64()*peak < a.rate(a.now) {
			return a.draw()
		}
	}
}

// rate returns the rate at the given time, in requests per second.
func (a *arrivalProcess) rate(at time.Duration) float64 {
	rate := a.profile.Rate * a.factor
	every, length := a.profile.Burst.Every.Duration(), a.profile.Burst.Length.Duration()
	if every > 0 && at%every >= every-length {
		return rate * a.profile.Burst.Factor
	}
	return rate
}

// draw chooses the kind, account and content of a request at random.
func (a *arrivalProcess) draw() arrival {
	a.number++
	kind := choose(a.random, a.profile.Kinds, func(k Kind) float64 { return k.Weight })
	senders := a.senders(kind)
	account := choose(a.random, senders, func(c Account) float64 { return c.weight() })
	drawn := arrival{at: a.now, number: a.number, kind: kind, account: account}
	if kind.Chat == nil {
		drawn.path = fmt.Sprintf("%s/%d", kind.Service.Path, a.number)
		if kind.Service.Method != http.MethodGet {
			drawn.body = fmt.Sprintf("call %d of %s", a.number, account.ID)
		}
		return drawn
	}
	drawn.messages = a.conversation(kind.Chat, account.ID)
	return drawn
}

// senders returns the accounts that send requests of the kind.
func (a *arrivalProcess) senders(kind *Kind) []Account {
	if len(kind.Accounts) == 0 {
		return a.profile.Accounts
	}
	return slices.DeleteFunc(slices.Clone(a.profile.Accounts), func(c Account) bool {
		return !slices.Contains(kind.Accounts, c.ID)
	})
}

// conversation returns the messages of a chat request. The user message is unique.
func (a *arrivalProcess) conversation(chat *Chat, account types.AccountID) []answer.Message {
	var messages []answer.Message
	if chat.System != "" {
		messages = append(messages, answer.Message{Role: "system", Content: chat.System})
	}
	const filler = "word"
	length := float64(chat.PromptTokens) * math.Exp(promptSigma*a.random.NormFloat64())
	words := int(math.Min(length, maxPromptTokens)) * 4 / (len(filler) + 1)
	opening := fmt.Sprintf("request %d of %s, %x:", a.number, account, a.random.Uint64())
	content := opening + strings.Repeat(" "+filler, words)
	return append(messages, answer.Message{Role: "user", Content: content})
}

// weight returns the relative share of the account.
func (a Account) weight() float64 {
	if a.Weight == 0 {
		return 1
	}
	return a.Weight
}

// choose returns a random item, with probabilities proportional to the weights.
func choose[T any](random *rand.Rand, items []T, weight func(T) float64) *T {
	total := 0.0
	for _, item := range items {
		total += weight(item)
	}
	draw := random.Float64() * total
	for i := range items {
		draw -= weight(items[i])
		if draw < 0 {
			return &items[i]
		}
	}
	return &items[len(items)-1]
}
