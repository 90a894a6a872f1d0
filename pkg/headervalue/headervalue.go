// Package headervalue parses what upstreams say in the headers of their responses. The values
// are from other programs, so anything that is not exactly of the expected form is invalid.
package headervalue

import (
	"strconv"
	"strings"
	"time"

	"github.com/umbercrank/umbercrank/pkg/fault"
)

const (
	// maxQuotedBytes is the number of bytes of an invalid value that are logged.
	maxQuotedBytes = 64
	// MaxPause is the longest time that counts as a pause. A longer one is taken for an error.
	MaxPause = 10 * time.Minute
)

// Decimal parses one decimal number without a sign or an exponent.
func Decimal(values []string) (float64, error) {
	text := joined(values)
	if strings.Trim(text, "0123456789.") != "" {
		return 0, fault.New(fault.BadRequest, "not a decimal number")
	}
	number, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return 0, fault.Wrap(fault.BadRequest, err, "not a decimal number")
	}
	return number, nil
}

// Pause parses the seconds for which an upstream wants no requests. It returns zero if there
// are no values, and the text for the log if they are not one number up to ten minutes.
func Pause(values []string) (pause time.Duration, invalid string) {
	if len(values) == 0 {
		return 0, ""
	}
	seconds, err := Decimal(values)
	if err != nil || seconds > MaxPause.Seconds() {
		return 0, Quote(values)
	}
	return time.Duration(seconds * float64(time.Second)), ""
}

// Flag parses a statement that is made by the value 1. It returns the text for the log if
// there is another value.
func Flag(values []string) (set bool, invalid string) {
	if len(values) == 0 {
		return false, ""
	}
	for _, value := range values {
		if strings.TrimSpace(value) != "1" {
			return false, Quote(values)
		}
	}
	return true, ""
}

// Count parses a positive whole number, or returns zero if there are no values. It returns the text
// for the log if there is anything else.
func Count(values []string) (count int, invalid string) {
	if len(values) == 0 {
		return 0, ""
	}
	count, err := strconv.Atoi(strings.TrimSpace(values[0]))
	if err != nil || count <= 0 || len(values) > 1 {
		return 0, Quote(values)
	}
	return count, ""
}

// Quote returns the beginning of the values for the log.
func Quote(values []string) string {
	text := joined(values)
	return strconv.Quote(text[:min(len(text), maxQuotedBytes)])
}

func joined(values []string) string { return strings.TrimSpace(strings.Join(values, ", ")) }
