package entry

import (
	"net/http"

	"github.com/umbercrank/umbercrank/pkg/config"
	"github.com/umbercrank/umbercrank/pkg/rules"
)

// inbound is one authenticated call of a caller, with its body read.
type inbound struct {
	http       *http.Request
	account    config.Account
	snapshot   *config.Snapshot
	attributes rules.Attributes
	body       []byte
	// open, if set, is asked right before the first byte to an upstream.
	open func() bool
	// answer serves the admitted request.
	answer func(w http.ResponseWriter, in inbound, held *request) error
}

// serve answers the call by what its caller said of repeating it.
func (e *Entry) serve(w http.ResponseWriter, in inbound) error {
	if in.attributes.Repeatable {
		return e.serveNow(w, in)
	}
	return e.serveOnce(w, in)
}

// serveNow admits the call and answers it.
func (e *Entry) serveNow(w http.ResponseWriter, in inbound) error {
	admitted, err := e.admit(w, in)
	if err != nil {
		return err
	}
	defer admitted.leave()
	return in.answer(w, in, admitted.request)
}
