package engine

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// serveOne runs an engine in a synctest bubble and serves one request. The returned
// function cancels the request, stops the engine and waits for both.
func serveOne(t *testing.T, settings Settings, body string) (*Engine, *httptest.ResponseRecorder, func()) {
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

// deterministicSettings returns settings without jitter and without load lag.
func deterministicSettings() Settings {
	settings := DefaultSettings()
	settings.Model.Jitter = 0
	settings.Faults.LoadLag = 0
	return settings
}

func TestClientDisconnectCancelsSequence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e, w, cancel := serveOne(t, deterministicSettings(), `{"stream":true,"messages":[`+prompt+`]}`)
		time.Sleep(20 * time.Millisecond)
		if load := e.LoadReport(); load.Running != 1 {
			t.Errorf("before cancelling: %+v", load)
		}
		cancel()
		if load := e.LoadReport(); load.Running != 0 || load.KVUsed != 0 {
			t.Errorf("after cancelling: %+v", load)
		}
		if strings.Contains(w.Body.String(), "[DONE]") {
			t.Error("the cancelled stream ended with [DONE]")
		}
	})
}

func TestLoadReportLag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		settings := deterministicSettings()
		settings.Model.StepBase = time.Second
		settings.Faults.LoadLag = 300 * time.Millisecond
		e, _, cancel := serveOne(t, settings, `{"messages":[`+prompt+`]}`)
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

func TestStraggleMultipliesDuration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		took := func(factor float64) time.Duration {
			settings := deterministicSettings()
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
		if normal, slow := took(1), took(3); slow != 3*normal {
			t.Errorf("normal %v, straggler %v", normal, slow)
		}
	})
}
