package config

import (
	"net/url"

	"github.com/umbercrank/umbercrank/pkg/types"
)

// maxRequestsPerSecond bounds the published rate of one account.
const maxRequestsPerSecond = 1e6

// maxWeight bounds the published weight of one account.
const maxWeight = 1e6

// checkUpstreams checks the upstreams.
func (c *checker) checkUpstreams(list []Upstream) {
	ids := map[types.UpstreamID]bool{}
	for index, upstream := range list {
		at := item{checker: c, section: Upstreams, index: index, name: string(upstream.ID)}
		at.checkName("id")
		if ids[upstream.ID] {
			at.problem("id", "is in use by an earlier upstream")
		}
		ids[upstream.ID] = true
		c.checkUpstream(at, upstream)
	}
}

// checkUpstream checks the fields of one upstream.
func (c *checker) checkUpstream(at item, upstream Upstream) {
	target, ok := c.targets[upstream.Target]
	if !ok {
		at.problem("target", "no target is named %q", upstream.Target)
	}
	if upstream.DataCentre == "" {
		at.problem("data_centre", "is required")
	}
	checkURL(at, upstream.URL)
	between(at, "max_concurrent", upstream.MaxConcurrent, 1, maxConcurrent)
	if upstream.KVTokens < 0 {
		at.problem("kv_tokens", "is %d, below 0", upstream.KVTokens)
	}
	if ok && target.Kind == ServiceTarget && upstream.KVTokens != 0 {
		at.problem("kv_tokens", "is for engines only")
	}
	if ok && target.Kind == ServiceTarget && upstream.ChecksFencing {
		at.problem("checks_fencing", "is for engines only")
	}
}

// checkURL checks the base address of an upstream.
func checkURL(at item, text string) {
	parsed, err := url.Parse(text)
	if err != nil || parsed.Host == "" || (parsed.Scheme != "http" && parsed.Scheme != "https") {
		at.problem("url", "is %q, want a form such as http://127.0.0.1:9001", text)
		return
	}
	if parsed.RawQuery != "" || parsed.Fragment != "" || parsed.User != nil {
		at.problem("url", "is %q, only scheme, host, port and path are allowed", text)
	}
}

// checkAccounts checks all accounts of a document that was read whole.
func checkAccounts(list []Account) []Problem {
	c := &checker{}
	ids := map[types.AccountID]bool{}
	keys := map[string]bool{}
	for index, account := range list {
		c.problems = append(c.problems, checkAccount(account, index)...)
		at := item{checker: c, section: Accounts, index: index, name: string(account.ID)}
		if ids[account.ID] {
			at.problem("id", "is in use by an earlier account")
		}
		ids[account.ID] = true
		for _, key := range account.KeySHA256 {
			if keys[key] {
				at.problem("key_sha256", "a value is in use by more than one account")
			}
			keys[key] = true
		}
	}
	return c.problems
}

// checkAccount checks the fields of one account.
func checkAccount(account Account, index int) []Problem {
	c := &checker{}
	at := item{checker: c, section: Accounts, index: index, name: string(account.ID)}
	at.checkName("id")
	for _, key := range account.KeySHA256 {
		if !isKeySHA256(key) {
			at.problem("key_sha256", "a value is not a SHA-256 in 64 lower-case hexadecimal digits")
		}
	}
	between(at, "limits.requests_per_second", account.Limits.RequestsPerSecond, 0, maxRequestsPerSecond)
	between(at, "limits.concurrent", account.Limits.Concurrent, 0, maxConcurrent)
	between(at, "limits.weight", account.Limits.Weight, 0, maxWeight)
	return c.problems
}

// isKeySHA256 reports whether the text is a digest in the published form.
func isKeySHA256(text string) bool {
	for _, r := range text {
		if (r < '0' || r > '9') && (r < 'a' || r > 'f') {
			return false
		}
	}
	_, ok := keyHash(text)
	return ok
}
