package gateway

import "github.com/umbercrank/umbercrank/pkg/exchange"

// prefetched is the beginning of a successful response: of a stream the first event that
// is not empty, of another response what is buffered of it.
type prefetched struct {
	events *exchange.EventReader
	event  exchange.Event

	body    []byte
	hasMore bool

	err error
}

// prefetch reads the beginning of a successful response.
func (h *hedge) prefetch() *prefetched {
	p := &prefetched{}
	if !h.isStream(h.response) {
		p.body, p.hasMore, p.err = h.gateway.bufferResponse(h.response.Body)
		return p
	}
	p.events = exchange.NewEventReader(h.response.Body)
	for {
		if p.event, p.err = p.events.Next(); p.err != nil || !p.event.Empty {
			return p
		}
	}
}

// dropPrefetched releases what has been read and is not used.
func (a *attempt) dropPrefetched() {
	if a.prefetched != nil {
		a.gateway.bufferedResponseBytes.Add(-int64(len(a.prefetched.body)))
		a.prefetched = nil
	}
}

// eventsOf returns a function that returns the next event of the response.
func (a *attempt) eventsOf(response *exchange.Response) func() (exchange.Event, error) {
	first := a.prefetched
	if first == nil {
		return exchange.NewEventReader(response.Body).Next
	}
	return func() (exchange.Event, error) {
		if p := a.prefetched; p != nil {
			a.prefetched = nil
			return p.event, p.err
		}
		return first.events.Next()
	}
}

// bufferedBody returns the response as far as it is buffered.
func (a *attempt) bufferedBody(response *exchange.Response) (body []byte, hasMore bool, err error) {
	if p := a.prefetched; p != nil {
		a.prefetched = nil
		return p.body, p.hasMore, p.err
	}
	return a.gateway.bufferResponse(response.Body)
}
