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

// Shape of the lengths of prompts.
const (
	promptSigma     = 0.5
	maxPromptTokens = 8000
)

// arrival is one request that is to be sent.
type arrival struct {
	// at is the time since the start of the load.
	at      time.Duration
	number  int
	kind    *Kind
	account *Account
	// messages are the conversation of a chat.
	messages []answer.Message
	// path and body are those of a service call.
	path string
	body string
}

// arrivals yields the requests of a profile in the order of time: a Poisson
// process whose rate is raised in bursts. The same seed gives the same
// requests. It is pure and not safe for concurrent use.
type arrivals struct {
	profile *Profile
	factor  float64
	random  *rand.Rand
	now     time.Duration
	number  int
}

func newArrivals(profile *Profile, factor float64, seed uint64) *arrivals {
	return &arrivals{profile: profile, factor: factor, random: rand.New(rand.NewPCG(seed, 1))}
}

// next returns the next request. Candidates come at the highest rate, and are
// kept with the probability that the present rate is of it.
func (a *arrivals) next() arrival {
	peak := a.profile.Rate * a.factor * math.Max(1, a.profile.Burst.Factor)
	for {
		gap := a.random.ExpFloat64() / peak
		a.now += time.Duration(gap * float64(time.Second))
		if a.random.Float64()*peak < a.rate(a.now) {
			return a.draw()
		}
	}
}

// rate returns the rate at the moment, in requests a second.
func (a *arrivals) rate(at time.Duration) float64 {
	rate := a.profile.Rate * a.factor
	every, length := a.profile.Burst.Every.Duration(), a.profile.Burst.Length.Duration()
	if every > 0 && at%every >= every-length {
		return rate * a.profile.Burst.Factor
	}
	return rate
}

// draw chooses kind, account and content.
func (a *arrivals) draw() arrival {
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
func (a *arrivals) senders(kind *Kind) []Account {
	if len(kind.Accounts) == 0 {
		return a.profile.Accounts
	}
	return slices.DeleteFunc(slices.Clone(a.profile.Accounts), func(c Account) bool {
		return !slices.Contains(kind.Accounts, c.ID)
	})
}

// conversation returns messages that no other request has.
func (a *arrivals) conversation(chat *Chat, account types.AccountID) []answer.Message {
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

// weight returns the share of the account.
func (a Account) weight() float64 {
	if a.Weight == 0 {
		return 1
	}
	return a.Weight
}

// choose draws one item in proportion to its weight.
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
