package dispatch_test

import (
	"net"
	"net/http"
	"testing"

	"github.com/umbercrank/umbercrank/pkg/config"
	"github.com/umbercrank/umbercrank/pkg/dispatch"
	"github.com/umbercrank/umbercrank/test/httpfakes"
)

// TestManyStalledLoadReportsFitIntoMemory guards against an instance that runs out of memory because it
// keeps what hundreds of faulty upstreams send of the header of a load report that does not end.
func TestManyStalledLoadReportsFitIntoMemory(t *testing.T) {
	for _, stalled := range httpfakes.StalledResponses("") {
		if stalled.Stream {
			continue
		}
		t.Run(stalled.Name, func(t *testing.T) {
			upstream := httpfakes.NewStallingUpstream(stalled.Text, "")
			address := httpfakes.ListenRaw(t, func(conn net.Conn, _ *http.Request, _ []byte) { upstream.Serve(conn) })
			reader := dispatch.NewHTTPLoadReader(nil)
			upstream.CheckHeap(t, 1, func(int) {
				if _, err := reader.Load(t.Context(), config.Upstream{URL: "http://" + address}); err == nil {
					t.Error("a report without end was accepted")
				}
			})
		})
	}
}
