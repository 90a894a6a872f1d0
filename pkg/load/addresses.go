package load

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/umbercrank/umbercrank/pkg/directory"
	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// Limits of asking for addresses.
const (
	askTimeout      = 2 * time.Second
	maxAnswerBytes  = 16 << 20
	minimumLifetime = time.Second
)

// addressBook is one caller's knowledge of the addresses: it asks any instance
// it knows, keeps the answer for its lifetime, and sets addresses aside that
// failed. It is safe for concurrent use.
type addressBook struct {
	client *http.Client
	seeds  []string

	mu      sync.Mutex
	random  *rand.Rand
	answer  directory.Answer
	expires time.Time
	failed  map[string]bool
	// favourite is the place among the nearest addresses that this caller uses.
	favourite int
}

func newAddressBook(client *http.Client, seeds []string, seed uint64) *addressBook {
	random := rand.New(rand.NewPCG(seed, 2))
	return &addressBook{
		client:    client,
		seeds:     seeds,
		random:    random,
		failed:    make(map[string]bool),
		favourite: random.IntN(1 << 16),
	}
}

// pick returns the address to use: one of the same data centre as the first of
// the answer, or the next that has not failed.
func (b *addressBook) pick(ctx context.Context) (directory.Address, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if time.Now().After(b.expires) || b.usable() == nil {
		if err := b.refresh(ctx); err != nil {
			return directory.Address{}, err
		}
	}
	usable := b.usable()
	if len(usable) == 0 {
		return directory.Address{}, fault.New(fault.PeerUnavailable, "every address has failed")
	}
	near := 0
	for near < len(usable) && usable[near].DataCentre == usable[0].DataCentre {
		near++
	}
	return usable[b.favourite%near], nil
}

// usable returns the addresses of the answer that have not failed.
func (b *addressBook) usable() []directory.Address {
	var usable []directory.Address
	for _, address := range b.answer.Addresses {
		if !b.failed[address.Address] {
			usable = append(usable, address)
		}
	}
	return usable
}

// fail sets the address aside until the next answer.
func (b *addressBook) fail(address string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.failed[address] = true
}

// refresh asks the known addresses, those that have not failed first.
func (b *addressBook) refresh(ctx context.Context) error {
	var last error
	for _, address := range b.known() {
		answer, err := ask(ctx, b.client, address)
		if err != nil {
			last = err
			b.failed[address] = true
			continue
		}
		b.answer = answer
		lifetime := max(time.Duration(answer.LifetimeSeconds)*time.Second, minimumLifetime)
		b.expires = time.Now().Add(lifetime)
		clear(b.failed)
		return nil
	}
	return fault.Wrap(fault.PeerUnavailable, last, "no instance tells its addresses")
}

// known returns the addresses to ask, in random order, failed ones last.
func (b *addressBook) known() []string {
	var good, bad []string
	seen := make(map[string]bool)
	candidates := append([]string(nil), b.seeds...)
	for _, address := range b.answer.Addresses {
		candidates = append(candidates, address.Address)
	}
	b.random.Shuffle(len(candidates), func(i, j int) {
		candidates[i], candidates[j] = candidates[j], candidates[i]
	})
	for _, address := range candidates {
		switch {
		case seen[address]:
		case b.failed[address]:
			bad = append(bad, address)
		default:
			good = append(good, address)
		}
		seen[address] = true
	}
	return append(good, bad...)
}

// ask reads GET /v1/addresses of one instance.
func ask(ctx context.Context, client *http.Client, address string) (directory.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	var answer directory.Answer
	err := getJSON(ctx, client, "http://"+address+"/v1/addresses", &answer)
	if err == nil && len(answer.Addresses) == 0 {
		err = fault.New(fault.PeerRejected, address+" names no addresses")
	}
	return answer, err
}

// keyPrefix returns the incarnation and the window that a key for the address
// must name. It asks the instance itself when the answer does not tell.
func keyPrefix(ctx context.Context, client *http.Client, at directory.Address) (types.Incarnation, string, error) {
	if at.Incarnation != "" && at.Window != "" {
		return at.Incarnation, at.Window, nil
	}
	answer, err := ask(ctx, client, at.Address)
	return answer.Incarnation, answer.Window, err
}

// getJSON decodes the JSON answer of a GET. Failures have the code
// PeerUnavailable, or PeerRejected for a status other than 200.
func getJSON(ctx context.Context, client *http.Client, url string, value any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return fault.Wrap(fault.InvalidSetting, err, "bad address "+url)
	}
	response, err := client.Do(request)
	if err != nil {
		return fault.Wrap(fault.PeerUnavailable, err, "no answer from "+url)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fault.New(fault.PeerRejected, url+" answers "+response.Status)
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxAnswerBytes)).Decode(value); err != nil {
		return fault.Wrap(fault.PeerRejected, err, "malformed answer from "+url)
	}
	return nil
}
