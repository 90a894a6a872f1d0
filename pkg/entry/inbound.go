package entry

import (
	"net/http"
	"time"

	"github.com/umbercrank/umbercrank/pkg/config"
	"github.com/umbercrank/umbercrank/pkg/intake"
	"github.com/umbercrank/umbercrank/pkg/quarantine"
	"github.com/umbercrank/umbercrank/pkg/rules"
)

// inboundRequest is an authenticated HTTP request of a caller with its body.
type inboundRequest struct {
	httpRequest *http.Request
	// waited is how long the request had waited when its handler began.
	waited     time.Duration
	account    config.Account
	snapshot   *config.Snapshot
	attributes rules.Attributes
	body       []byte
	// memory is that of the request.
	memory *intake.Reservation
	// parts are the fingerprints of the messages that other requests may share.
	parts []quarantine.Fingerprint
	// mayExecute, if set, is checked right before the first byte is sent to an
	// upstream. If it returns false, nothing is sent.
	mayExecute func() bool
	// answer serves the request after admission.
	answer func(w http.ResponseWriter, in inboundRequest, req *request) error
}

// serve serves the request, at most once if it is not repeatable.
func (e *Entry) serve(w http.ResponseWriter, in inboundRequest) error {
	if in.attributes.Repeatable {
		return e.admitAndServe(w, in)
	}
	return e.serveIdempotent(w, in)
}

// admitAndServe admits the request and serves it.
func (e *Entry) admitAndServe(w http.ResponseWriter, in inboundRequest) error {
	admitted, err := e.admit(w, in)
	if err != nil {
		return err
	}
	defer admitted.release()
	return in.answer(w, in, admitted.request)
}
