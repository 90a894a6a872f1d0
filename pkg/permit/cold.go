package permit

import (
	"math"
	"time"
)

const (
	// ColdShare is the part of a cold upstream's tolerated rate at which permits are
	// issued. A bucket holds 1.5 permits and those of half a second, and a permit may be
	// used for ColdTTL. Two issuers in a partition use 4/3 of the rate at most, so that
	// the requests in one second stay below the 1.5 times the tolerated rate and 5 that
	// a cold upstream survives: 2 x 1.5 + (0.5 + 1.25) x 4/3 x 0.64 x rate.
	ColdShare = 0.64
	// ColdTTL is the time from the request for a permit in which it may be used at a cold
	// upstream. It covers the round trip to the issuer and the connection to the upstream.
	ColdTTL = 250 * time.Millisecond
)

// ColdLimit returns the limit of an upstream that is cold and tolerates so many requests per
// second of all instances together. Without such a rate there is no limit.
func ColdLimit(perSecond float64) Limit {
	if perSecond <= 0 {
		return Limit{}
	}
	return Limit{PerSecond: ColdShare * perSecond, Limited: true}
}

// Strictest returns the limit that allows the least, or no limit if none is one.
func Strictest(limits ...Limit) Limit {
	var strictest Limit
	for _, limit := range limits {
		if limit.stricter(strictest) {
			strictest = limit
		}
	}
	return strictest
}

// Unobserved returns the observation of an upstream that has named no limit. It is older than
// any other, so that it changes nothing where it is added to a table.
func Unobserved() Observation {
	const longAgo time.Duration = math.MinInt64 / 4
	return Observation{SentAt: longAgo, ReceivedAt: longAgo}
}
