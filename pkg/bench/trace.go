package bench

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/umbercrank/umbercrank/pkg/types"
)

const (
	// entries is the number of instances that receive requests.
	entries = 8
	// accounts is the number of client accounts.
	accounts = 10
	// largeAccounts is the number of accounts that together send half of the
	// requests.
	largeAccounts = 2
	// traceLength is the time during which requests arrive.
	traceLength = 60 * time.Second
	// burstStart and burstEnd are the bounds of the burst.
	burstStart = 25 * time.Second
	burstEnd   = 40 * time.Second
	// warmUpTime is the time in which the policies warm up. Requests that arrive
	// during it are not measured.
	warmUpTime = 5 * time.Second
	// maxAnswer is the maximum length of an answer in tokens.
	maxAnswer = 1500
	// maxPrompt is the maximum length of a prompt in tokens.
	maxPrompt = 8000
	// floodAccount is the account that floods the top tier.
	floodAccount types.AccountID = "account-flood"
)

// arrival is a request of the trace. It is the same for every policy.
type arrival struct {
	id           types.RequestID
	at           time.Duration
	class        *ClassLoad
	account      types.AccountID
	entry        int
	promptTokens int
	// answerTokens is the length of the answer, which the policies do not know.
	answerTokens int
	// serviceTime is the duration of a call to a plain service.
	serviceTime time.Duration
}

// trace draws the arrivals for a seed. The load and the flood are multiples of the
// capacity. A flood above zero adds requests of floodAccount to the top tier.
func (w Workload) trace(seed uint64, load, flood float64) []arrival {
	var all []arrival
	for i := range w.Classes {
		c := &w.Classes[i]
		rate := load * c.Share * w.capacity(c.Target)
		random := rand.New(rand.NewPCG(seed, uint64(i)))
		all = append(all, w.drawArrivals(c, random, rate, "")...)
	}
	if flood > 0 {
		random := rand.New(rand.NewPCG(seed, math.MaxUint64))
		all = append(all, w.drawArrivals(&w.Classes[0], random, flood*w.capacity(modelTarget), floodAccount)...)
	}
	slices.SortStableFunc(all, func(a, b arrival) int { return cmp.Compare(a.at, b.at) })
	for i := range all {
		all[i].id = types.RequestID(fmt.Sprintf("r%d", i))
	}
	return all
}

// drawArrivals returns the arrivals of one class as a Poisson process. The rate
// rises during the burst if the class bursts.
func (w Workload) drawArrivals(c *ClassLoad, random *rand.Rand, rate float64, account types.AccountID) []arrival {
	peak := rate
	if c.Bursts {
		peak *= w.Burst
	}
	var drawn []arrival
	for at := time.Duration(0); ; {
		at += time.Duration(random.ExpFloat64() / peak * float64(time.Second))
		if at >= traceLength {
			return drawn
		}
		inBurst := at >= burstStart && at < burstEnd
		if !inBurst && random.Float64() > rate/peak {
			continue
		}
		a := arrival{at: at, class: c, account: account, entry: random.IntN(entries)}
		if account == "" {
			a.account = drawAccount(random)
		}
		a.promptTokens = drawLogNormal(random, c.PromptTokens, c.Sigma, maxPrompt)
		a.answerTokens = drawLogNormal(random, c.AnswerTokens, c.Sigma, maxAnswer)
		a.serviceTime = time.Duration(serviceTime.Seconds() * math.Exp(serviceSigma*random.NormFloat64()) * float64(time.Second))
		drawn = append(drawn, a)
	}
}

func drawAccount(random *rand.Rand) types.AccountID {
	if random.IntN(2) == 0 {
		return types.AccountID(fmt.Sprintf("account-large-%d", random.IntN(largeAccounts)))
	}
	return types.AccountID(fmt.Sprintf("account-%d", random.IntN(accounts-largeAccounts)))
}

func drawLogNormal(random *rand.Rand, median, sigma float64, bound int) int {
	return min(max(int(median*math.Exp(sigma*random.NormFloat64())), 1), bound)
}
