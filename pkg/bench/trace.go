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
	// entries is the number of entry instances.
	entries = 8
	// accounts is the number of client accounts.
	accounts = 10
	// largeAccounts of them send half of the requests.
	largeAccounts = 2
	// traceLength is the time over which requests arrive.
	traceLength = 60 * time.Second
	// burstFrom and burstUntil bound the burst.
	burstFrom  = 25 * time.Second
	burstUntil = 40 * time.Second
	// countFrom is when requests begin to count, once the policies are warm.
	countFrom = 5 * time.Second
	// maxAnswer bounds the drawn answers, in tokens.
	maxAnswer = 1500
	// maxPrompt bounds the drawn prompts, in tokens.
	maxPrompt = 8000
	// floodAccount is the account that floods the top tier in the flood case.
	floodAccount types.AccountID = "account-flood"
)

// arrival is one request of the load, the same for every policy.
type arrival struct {
	id      types.RequestID
	at      time.Duration
	class   *ClassLoad
	account types.AccountID
	entry   int
	prompt  int
	// answer is the true number of tokens, which no policy sees.
	answer int
	// service is the time that a call to a plain service takes.
	service time.Duration
}

// trace draws the load of one seed. The flood, if not zero, adds requests of one
// more account to the top tier, as a multiple of the engines' capacity.
func (w Workload) trace(seed uint64, load, flood float64) []arrival {
	var all []arrival
	for i := range w.Classes {
		c := &w.Classes[i]
		rate := load * c.Share * w.capacity(c.Target)
		random := rand.New(rand.NewPCG(seed, uint64(i)))
		all = append(all, w.draw(c, random, rate, "")...)
	}
	if flood > 0 {
		random := rand.New(rand.NewPCG(seed, math.MaxUint64))
		all = append(all, w.draw(&w.Classes[0], random, flood*w.capacity(modelTarget), floodAccount)...)
	}
	slices.SortStableFunc(all, func(a, b arrival) int { return cmp.Compare(a.at, b.at) })
	for i := range all {
		all[i].id = types.RequestID(fmt.Sprintf("r%d", i))
	}
	return all
}

// draw returns the arrivals of one class as a Poisson process whose rate rises
// in the burst.
func (w Workload) draw(c *ClassLoad, random *rand.Rand, rate float64, account types.AccountID) []arrival {
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
		inBurst := at >= burstFrom && at < burstUntil
		if !inBurst && random.Float64() > rate/peak {
			continue
		}
		a := arrival{at: at, class: c, account: account, entry: random.IntN(entries)}
		if account == "" {
			a.account = drawAccount(random)
		}
		a.prompt = logNormal(random, c.PromptTokens, c.Spread, maxPrompt)
		a.answer = logNormal(random, c.AnswerTokens, c.Spread, maxAnswer)
		a.service = time.Duration(serviceTime.Seconds() * math.Exp(serviceSpread*random.NormFloat64()) * float64(time.Second))
		drawn = append(drawn, a)
	}
}

func drawAccount(random *rand.Rand) types.AccountID {
	if random.IntN(2) == 0 {
		return types.AccountID(fmt.Sprintf("account-large-%d", random.IntN(largeAccounts)))
	}
	return types.AccountID(fmt.Sprintf("account-%d", random.IntN(accounts-largeAccounts)))
}

func logNormal(random *rand.Rand, median, spread float64, bound int) int {
	return min(max(int(median*math.Exp(spread*random.NormFloat64())), 1), bound)
}
