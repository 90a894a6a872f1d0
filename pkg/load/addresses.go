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

// Limits of requests for addresses.
const (
	addressesTimeout   = 2 * time.Second
	maxJSONBytes       = 16 << 20
	minAddressLifetime = time.Second
)

// addressBook is the list of addresses of one caller. It fetches the list from any
// known instance, caches it for its lifetime, and skips addresses that failed. It
// is safe for concurrent use.
type addressBook struct {
	client    *http.Client
	bootstrap []string

	mu        sync.Mutex
	random    *rand.Rand
	answer    directory.Answer
	expiresAt time.Time
	failed    map[string]bool
	// preferred, modulo the number of usable addresses in the first data centre, is
	// the index of the one to use. It is random, so that callers spread over them.
	preferred int
}

func newAddressBook(client *http.Client, bootstrap []string, seed uint64) *addressBook {
	random := rand.New(rand.NewPCG(seed, 2))
	return &addressBook{
		client:    client,
		bootstrap: bootstrap,
		random:    random,
		failed:    make(map[string]bool),
		preferred: random.IntN(1 << 16),
	}
}

// pick returns the address to use. It is in the data centre of the first address
// that has not failed.
func (b *addressBook) pick(ctx context.Context) (directory.Address, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if time.Now().After(b.expiresAt) || b.usable() == nil {
		if err := b.refresh(ctx); err != nil {
			return directory.Address{}, err
		}
	}
	usable := b.usable()
	if len(usable) == 0 {
		return directory.Address{}, fault.New(fault.PeerUnavailable, "all addresses have failed")
	}
	local := 0
	for local < len(usable) && usable[local].DataCentre == usable[0].DataCentre {
		local++
	}
	return usable[b.preferred%local], nil
}

// usable returns the addresses of the cached list that have not failed.
func (b *addressBook) usable() []directory.Address {
	var usable []directory.Address
	for _, address := range b.answer.Addresses {
		if !b.failed[address.Address] {
			usable = append(usable, address)
		}
	}
	return usable
}

// markFailed excludes the address until the list is fetched again.
func (b *addressBook) markFailed(address string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.failed[address] = true
}

// refresh fetches the list of addresses from the first instance that responds.
// Addresses that have not failed are tried first.
func (b *addressBook) refresh(ctx context.Context) error {
	var lastErr error
	for _, address := range b.candidates() {
		answer, err := fetchAddresses(ctx, b.client, address)
		if err != nil {
			lastErr = err
			b.failed[address] = true
			continue
		}
		b.answer = answer
		lifetime := max(time.Duration(answer.LifetimeSeconds)*time.Second, minAddressLifetime)
		b.expiresAt = time.Now().Add(lifetime)
		clear(b.failed)
		return nil
	}
	return fault.Wrap(fault.PeerUnavailable, lastErr, "no instance returned its addresses")
}

// candidates returns all known addresses in random order, failed ones last.
func (b *addressBook) candidates() []string {
	var good, bad []string
	seen := make(map[string]bool)
	candidates := append([]string(nil), b.bootstrap...)
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

// fetchAddresses requests GET /v1/addresses from one instance.
func fetchAddresses(ctx context.Context, client *http.Client, address string) (directory.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, addressesTimeout)
	defer cancel()
	var answer directory.Answer
	err := getJSON(ctx, client, "http://"+address+"/v1/addresses", &answer)
	if err == nil && len(answer.Addresses) == 0 {
		err = fault.New(fault.PeerRejected, address+" returned no addresses")
	}
	return answer, err
}

// keyPrefix returns the incarnation and the window that form the prefix of an
// idempotency key for the address. If they are unknown, it requests them from the
// instance.
func keyPrefix(ctx context.Context, client *http.Client, at directory.Address) (types.Incarnation, string, error) {
	if at.Incarnation != "" && at.Window != "" {
		return at.Incarnation, at.Window, nil
	}
	answer, err := fetchAddresses(ctx, client, at.Address)
	return answer.Incarnation, answer.Window, err
}

// getJSON sends a GET request and decodes the JSON response into value. Errors
// have the code InvalidSetting if the URL is invalid, PeerUnavailable if the
// request fails, and PeerRejected if the response is not 200 with valid JSON.
func getJSON(ctx context.Context, client *http.Client, url string, value any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return fault.Wrap(fault.InvalidSetting, err, "invalid URL "+url)
	}
	response, err := client.Do(request)
	if err != nil {
		return fault.Wrap(fault.PeerUnavailable, err, "no response from "+url)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fault.New(fault.PeerRejected, url+" returned "+response.Status)
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxJSONBytes)).Decode(value); err != nil {
		return fault.Wrap(fault.PeerRejected, err, "malformed response from "+url)
	}
	return nil
}
