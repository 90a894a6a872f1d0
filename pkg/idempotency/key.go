// Package idempotency executes requests that are not repeatable at most once,
// without state shared between instances. An idempotency key consists of the
// incarnation of one instance, a window of that instance's monotonic time, and a
// nonce. Only the named incarnation, the executor, runs the request, and only
// while the window is open.
package idempotency

import (
	"strconv"
	"strings"
	"time"

	"github.com/oklog/ulid/v2"

	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// maxNonceBytes is the maximum length of the nonce, which the caller chooses.
const maxNonceBytes = 128

// keyHelp is the part of error messages that describes the format of a key.
const keyHelp = "use INCARNATION.WINDOW.NONCE, with the incarnation and window from GET /v1/addresses and a nonce of your own"

// Window is the number of a window: an interval of an instance's monotonic time.
// Window zero begins when the instance starts.
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

// ParseKey parses the form incarnation.window.nonce. It returns an error with
// code KeyRequired for an empty text and KeyInvalid for any other invalid text.
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

// Windows defines the windows of an instance. All times are monotonic times since
// the start of the instance. It is safe for concurrent use.
type Windows struct {
	// Length is the duration for which each window is the current one.
	Length time.Duration
	// Grace is the duration for which a window stays open after it was current.
	Grace time.Duration
}

// Current returns the window that is current at time now.
func (w Windows) Current(now time.Duration) Window {
	return Window(now / w.Length)
}

// Closed reports whether the window no longer accepts keys. A window is closed
// from its closing time on, inclusive.
func (w Windows) Closed(window Window, now time.Duration) bool {
	if window >= maxWindow {
		return false
	}
	return now >= w.closingTime(window)
}

// closingTime returns the time at which the window closes.
func (w Windows) closingTime(window Window) time.Duration {
	return time.Duration(window+1)*w.Length + w.Grace
}

// maxWindow prevents an integer overflow in closingTime. No instance runs for that
// many windows, so Closed treats higher windows as open.
const maxWindow = Window(1 << 20)
