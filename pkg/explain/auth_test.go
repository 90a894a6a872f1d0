package explain

import (
	"errors"
	"net/http"
	"testing"
	"time"

	"github.com/umbercrank/umbercrank/pkg/fault"
)

// TestVerifyRejects guards against explanations for clients without the peer secret.
func TestVerifyRejects(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	body := []byte("GET / HTTP/1.1\r\n\r\n")
	for _, c := range []struct {
		name   string
		secret string
		at     time.Time
		change func(http.Header)
		body   string
		ok     bool
	}{
		{name: "valid", secret: "s", at: now, ok: true},
		{name: "clock a little ahead", secret: "s", at: now.Add(maxClockDifference), ok: true},
		{name: "other secret", secret: "t", at: now},
		{name: "empty secret", secret: "", at: now},
		{name: "replayed later", secret: "s", at: now.Add(-maxClockDifference - time.Second)},
		{name: "from the future", secret: "s", at: now.Add(maxClockDifference + time.Second)},
		{name: "time changed", secret: "s", at: now, change: func(h http.Header) { h.Set(headerTime, "1000001") }},
		{name: "digest changed", secret: "s", at: now, change: func(h http.Header) { h.Set(headerDigest, digestOf(nil)) }},
		{name: "no signature", secret: "s", at: now, change: func(h http.Header) { h.Del(headerSignature) }},
		{name: "other body", secret: "s", at: now, body: "GET /other HTTP/1.1\r\n\r\n"},
	} {
		header := make(http.Header)
		// Sign fails only for an empty secret, and Verify then rejects the empty header.
		_ = Sign(header, c.secret, c.at, body)
		if c.change != nil {
			c.change(header)
		}
		err := Verify(header, "s", now)
		if err == nil {
			received := body
			if c.body != "" {
				received = []byte(c.body)
			}
			err = VerifyBody(header, received)
		}
		if (err == nil) != c.ok || err != nil && !errors.Is(err, fault.New(fault.Unauthorized, "")) {
			t.Errorf("%s: %v", c.name, err)
		}
	}
	if Verify(make(http.Header), "", now) == nil {
		t.Error("an instance without a secret accepts a request")
	}
}
