package entry

import (
	"net/http"

	"github.com/umbercrank/umbercrank/pkg/config"
	"github.com/umbercrank/umbercrank/pkg/rules"
)

// inbound is one authenticated call of a caller, with its body read.
type inboundRequest struct {
	httpRequest *http.Request
	account     config.Account
	snapshot    *config.Snapshot
	attributes  rules.Attributes
	body        []byte
	// open, if set, is asked right before the first byte to an upstream.
	mayExecute func() bool
	// answer serves the admitted request.
	answer func(w http.ResponseWriter, in inboundRequest, req *request) error
}

// serve answers the call by what its caller said of repeating it.
func (e *Entry) serve(w http.ResponseWriter, in inboundRequest) error {
	if in.attributes.Repeatable {
		return e.admitAndServe(w, in)
	}
	return e.serveIdempotent(w, in)
}

// serveNow admits the call and answers it.
func (e *Entry) admitAndServe(w http.ResponseWriter, in inboundRequest) error {
	admitted, err := e.admit(w, in)
	if err != nil {
		return err
	}
	defer admitted.release()
	return in.answer(w, in, admitted.request)
}
