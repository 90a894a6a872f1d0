package node

import (
	"net/http"
	"time"

	"github.com/umbercrank/umbercrank/pkg/fault"
)

// readyRetryAfter is told to callers of an instance that is not ready.
const readyRetryAfter = time.Second

// ready reports whether the instance may serve callers.
func (n *Node) ready() bool {
	select {
	case <-n.roles.Ready():
		return true
	default:
		return false
	}
}

// whenReady refuses callers with not_ready until the instance may serve them.
func (n *Node) whenReady(next http.Handler) http.Handler {
	refusal := fault.New(fault.NotReady, "this instance has no configuration yet; use another address").
		WithRetryAfter(readyRetryAfter)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if n.ready() {
			next.ServeHTTP(w, r)
			return
		}
		if err := refusal.WriteTo(w); err != nil {
			n.logger.Debug().Err(err).Msg("refusal not sent")
		}
	})
}
