package transit

import (
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/umbercrank/umbercrank/pkg/clock"
	"github.com/umbercrank/umbercrank/pkg/headervalue"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// TestImpossiblePauseOfPeerIsIgnored guards against a peer that keeps this instance from an upstream for
// weeks: an upstream cannot ask for so long a pause.
func TestImpossiblePauseOfPeerIsIgnored(t *testing.T) {
	for pause, status := range map[time.Duration]int{headervalue.MaxPause: http.StatusOK, headervalue.MaxPause + time.Millisecond: http.StatusBadRequest, 24 * 24 * time.Hour: http.StatusBadRequest} {
		var paused time.Duration
		transit := New(Options{Clock: clock.Boot, Logger: zerolog.Nop(), HandlePause: func(_ types.UpstreamID, pause time.Duration, _ types.InstanceID) { paused = pause }})
		request := httptest.NewRequest(http.MethodPost, pausePath+"u", nil)
		request.Header.Set(headerPause, strconv.FormatInt(pause.Milliseconds(), 10))
		response := httptest.NewRecorder()
		transit.Handler(func() bool { return true }).ServeHTTP(response, request)
		if response.Code != status || (paused == pause) != (status == http.StatusOK) {
			t.Errorf("a pause of %v: status %d, paused for %v", pause, response.Code, paused)
		}
	}
}
