// Package idempotency lets a request that is not repeatable run at most once
// without shared state. The caller's key names its executor: the incarnation of
// one instance, a window of that instance's time, and a nonce. Only the named
// incarnation executes the key, and only while the window is open.
package idempotency

import (
	"strconv"
	"strings"
	"time"

	"github.com/oklog/ulid/v2"

	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// maxNonceBytes bounds the caller's part of a key.
const maxNonceBytes = 128

// keyHelp tells a caller how to come by a key.
const keyHelp = "use INCARNATION.WINDOW.NONCE, with the incarnation and window from GET /v1/addresses and a nonce of your own"

// Window numbers the stretches of an instance's monotonic time, from zero at
// its start.
type Window uint64

// Key is a parsed idempotency key.
type Key struct {
	Incarnation types.Incarnation
	Window      Window
	Nonce       string
}

// String returns the form incarnation.window.nonce.
func (k Key) String() string {
	return string(k.Incarnation) + "." + strconv.FormatUint(uint64(k.Window), 10) + "." + k.Nonce
}

// ParseKey reads the form incarnation.window.nonce. It returns KeyRequired for
// an empty text and KeyInvalid for any other that does not have the form.
func ParseKey(text string) (Key, error) {
	if text == "" {
		return Key{}, fault.New(fault.KeyRequired, "the call is not repeatable and needs an Idempotency-Key; "+keyHelp)
	}
	parts := strings.SplitN(text, ".", 3)
	if len(parts) != 3 {
		return Key{}, invalidKey()
	}
	if _, err := ulid.ParseStrict(parts[0]); err != nil {
		return Key{}, invalidKey()
	}
	window, err := strconv.ParseUint(parts[1], 10, 63)
	if err != nil || strconv.FormatUint(window, 10) != parts[1] {
		return Key{}, invalidKey()
	}
	if parts[2] == "" || len(parts[2]) > maxNonceBytes {
		return Key{}, invalidKey()
	}
	return Key{Incarnation: types.Incarnation(parts[0]), Window: Window(window), Nonce: parts[2]}, nil
}

func invalidKey() error {
	return fault.New(fault.KeyInvalid, "the Idempotency-Key names no executor; "+keyHelp)
}

// Windows computes windows from an instance's monotonic time since its start.
// It is a value and safe for concurrent use.
type Windows struct {
	// Length is how long each window is the current one.
	Length time.Duration
	// Grace is how long a window stays open after it was the current one.
	Grace time.Duration
}

// Current returns the window of the time.
func (w Windows) Current(now time.Duration) Window {
	return Window(now / w.Length)
}

// Closed reports whether the window takes no key any more. The closing instant
// itself is closed.
func (w Windows) Closed(window Window, now time.Duration) bool {
	if window >= maxWindow {
		return false
	}
	return now >= w.closing(window)
}

// closing returns the time at which the window closes.
func (w Windows) closing(window Window) time.Duration {
	return time.Duration(window+1)*w.Length + w.Grace
}

// maxWindow keeps the arithmetic of Closed from overflowing; no instance lives
// that long.
const maxWindow = Window(1 << 20)
