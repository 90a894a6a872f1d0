package engine

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// serveVirtual runs an engine in the bubble and serves one request until the
// returned function cancels it and everything has ended.
func serveVirtual(t *testing.T, settings Settings, body string) (*Engine, *httptest.ResponseRecorder, func()) {
	t.Helper()
	e := New(settings)
	running, stop := context.WithCancel(t.Context())
	go e.Run(running)
	ctx, cancel := context.WithCancel(t.Context())
	w := httptest.NewRecorder()
	r := httptest.NewRequestWithContext(ctx, "POST", ChatPath, strings.NewReader(body))
	served := make(chan struct{})
	go func() {
		defer close(served)
		e.Handler().ServeHTTP(w, r)
	}()
	return e, w, func() {
		cancel()
		<-served
		stop()
		synctest.Wait()
	}
}

func exactSettings() Settings {
	settings := DefaultSettings()
	settings.Model.Jitter = 0
	settings.Faults.LoadLag = 0
	return settings
}

func TestCallerGoneCancels(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e, w, cancel := serveVirtual(t, exactSettings(), `{"stream":true,"messages":[`+prompt+`]}`)
		time.Sleep(20 * time.Millisecond)
		if load := e.LoadReport(); load.Running != 1 {
			t.Errorf("before: %+v", load)
		}
		cancel()
		if load := e.LoadReport(); load.Running != 0 || load.KVUsed != 0 {
			t.Errorf("after: %+v", load)
		}
		if strings.Contains(w.Body.String(), "[DONE]") {
			t.Error("the cancelled stream ended as complete")
		}
	})
}

func TestLoadReportLags(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		settings := exactSettings()
		settings.Model.StepBase = time.Second
		settings.Faults.LoadLag = 300 * time.Millisecond
		e, _, cancel := serveVirtual(t, settings, `{"messages":[`+prompt+`]}`)
		defer cancel()
		for _, want := range []int{0, 0, 0, 1, 1} {
			synctest.Wait()
			if load := e.LoadReport(); load.Running != want || load.AgeMilliseconds != 300 {
				t.Errorf("at %v: %+v, want %d running", e.now(), load, want)
			}
			time.Sleep(100 * time.Millisecond)
		}
	})
}

func TestStragglerTakesItsFactor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		took := func(factor float64) time.Duration {
			settings := exactSettings()
			settings.Faults.Straggle = factor
			e := New(settings)
			ctx, stop := context.WithCancel(t.Context())
			go e.Run(ctx)
			started := time.Now()
			r := httptest.NewRequest("POST", ChatPath, strings.NewReader(`{"messages":[`+prompt+`]}`))
			e.Handler().ServeHTTP(httptest.NewRecorder(), r)
			elapsed := time.Since(started)
			stop()
			synctest.Wait()
			return elapsed
		}
		if plain, slow := took(1), took(3); slow != 3*plain {
			t.Errorf("plain %v, straggler %v", plain, slow)
		}
	})
}
