package config

import (
	"net/url"
	"strconv"

	"github.com/umbercrank/umbercrank/pkg/types"
)

// maxRequestsPerSecond is the maximum rate limit of an account.
const maxRequestsPerSecond = 1e6

// maxWeight is the maximum weight of an account.
const maxWeight = 1e6

// checkUpstreams checks all upstreams.
func (c *checker) checkUpstreams(list []Upstream) {
	ids := map[types.UpstreamID]bool{}
	for index, upstream := range list {
		at := itemRef{checker: c, section: Upstreams, index: index, name: string(upstream.ID)}
		at.checkName("id")
		if ids[upstream.ID] {
			at.addProblem("id", "is in use by an earlier upstream")
		}
		ids[upstream.ID] = true
		c.checkUpstream(at, upstream)
	}
}

// checkUpstream checks the fields of one upstream.
func (c *checker) checkUpstream(at itemRef, upstream Upstream) {
	target, ok := c.targets[upstream.Target]
	if !ok {
		at.addProblem("target", "no target is named %q", upstream.Target)
	}
	if upstream.DataCentre == "" {
		at.addProblem("data_centre", "is required")
	}
	checkURL(at, upstream.URL)
	checkRange(at, "max_concurrent", upstream.MaxConcurrent, 1, maxConcurrent)
	if upstream.KVTokens < 0 {
		at.addProblem("kv_tokens", "is %d, below 0", upstream.KVTokens)
	}
	if ok && target.Kind == ServiceTarget && upstream.KVTokens != 0 {
		at.addProblem("kv_tokens", "is for engines only")
	}
	if ok && target.Kind == ServiceTarget && upstream.ChecksFencing {
		at.addProblem("checks_fencing", "is for engines only")
	}
}

// checkURL checks the base URL of an upstream.
func checkURL(at itemRef, text string) {
	parsed, err := url.Parse(text)
	if err != nil || parsed.Host == "" || (parsed.Scheme != "http" && parsed.Scheme != "https") {
		at.addProblem("url", "is %q, want a form such as http://127.0.0.1:9001", text)
		return
	}
	if port, err := strconv.ParseUint(parsed.Port(), 10, 16); parsed.Hostname() == "" || parsed.Port() != "" && (err != nil || port == 0) {
		at.addProblem("url", "is %q, want a host and a port between 1 and 65535", text)
		return
	}
	if parsed.RawQuery != "" || parsed.Fragment != "" || parsed.User != nil {
		at.addProblem("url", "is %q, only scheme, host, port and path are allowed", text)
	}
}

// checkAccounts checks all accounts of a whole document.
func checkAccounts(list []Account) []Problem {
	c := &checker{}
	ids := map[types.AccountID]bool{}
	keys := map[string]bool{}
	for index, account := range list {
		c.problems = append(c.problems, checkAccount(account, index)...)
		at := itemRef{checker: c, section: Accounts, index: index, name: string(account.ID)}
		if ids[account.ID] {
			at.addProblem("id", "is in use by an earlier account")
		}
		ids[account.ID] = true
		for _, key := range account.KeySHA256 {
			if keys[key] {
				at.addProblem("key_sha256", "a value is in use by more than one account")
			}
			keys[key] = true
		}
	}
	return c.problems
}

// checkAccount checks the fields of one account.
func checkAccount(account Account, index int) []Problem {
	c := &checker{}
	at := itemRef{checker: c, section: Accounts, index: index, name: string(account.ID)}
	at.checkName("id")
	for _, key := range account.KeySHA256 {
		if !isKeySHA256(key) {
			at.addProblem("key_sha256", "a value is not a SHA-256 in 64 lower-case hexadecimal digits")
		}
	}
	checkRange(at, "limits.requests_per_second", account.Limits.RequestsPerSecond, 0, maxRequestsPerSecond)
	checkRange(at, "limits.concurrent", account.Limits.Concurrent, 0, maxConcurrent)
	checkRange(at, "limits.weight", account.Limits.Weight, 0, maxWeight)
	return c.problems
}

// isKeySHA256 reports whether the text is a SHA-256 digest in lower-case
// hexadecimal.
func isKeySHA256(text string) bool {
	for _, r := range text {
		if (r < '0' || r > '9') && (r < 'a' || r > 'f') {
			return false
		}
	}
	_, ok := parseKeyHash(text)
	return ok
}
