package node

import (
	"net/http"
	"time"

	"github.com/umbercrank/umbercrank/pkg/fault"
)

// notReadyRetryAfter is the Retry-After delay sent by an instance that is not ready.
const notReadyRetryAfter = time.Second

// ready reports whether a configuration is in force and callers can be served.
func (n *Node) ready() bool {
	select {
	case <-n.roles.Ready():
		return true
	default:
		return false
	}
}

// requireReady rejects requests with not_ready until the instance is ready, then
// passes them to next.
func (n *Node) requireReady(next http.Handler) http.Handler {
	refusal := fault.New(fault.NotReady, "this instance has no configuration yet; use another address").
		WithRetryAfter(notReadyRetryAfter)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if n.ready() {
			next.ServeHTTP(w, r)
			return
		}
		if err := refusal.WriteTo(w); err != nil {
			n.logger.Debug().Err(err).Msg("cannot write not_ready response")
		}
	})
}
