package config

import (
	"bytes"
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"slices"
)

// shortHash is the first half of a SHA-256 digest.
type shortHash [sha256.Size / 2]byte

// shortHashOf returns the shortHash of the text.
func shortHashOf(text string) shortHash {
	sum := sha256.Sum256([]byte(text))
	return shortHash(sum[:sha256.Size/2])
}

// parseKeyHash returns the shortHash of a published key_sha256. It reports false
// if the value is not a SHA-256 digest.
func parseKeyHash(published string) (shortHash, bool) {
	sum, err := hex.DecodeString(published)
	if err != nil || len(sum) != sha256.Size {
		return shortHash{}, false
	}
	return shortHash(sum[:sha256.Size/2]), true
}

// accountEntry maps the hash of an API key to the byte range of the account's JSON
// in its part.
type accountEntry struct {
	key        shortHash
	start, end uint32
}

// accountPart is the index of the accounts of one part. The accounts are kept as
// JSON and decoded on each lookup: for tens of thousands of accounts, the decoded
// form needs several times the memory.
type accountPart struct {
	raw     []byte
	entries []accountEntry
	ids     []shortHash
}

// add indexes one account whose JSON is in the byte range from start to end.
func (p *accountPart) add(account Account, start, end int) {
	p.ids = append(p.ids, shortHashOf(string(account.ID)))
	for _, published := range account.KeySHA256 {
		if key, ok := parseKeyHash(published); ok {
			p.entries = append(p.entries, accountEntry{key: key, start: uint32(start), end: uint32(end)})
		}
	}
}

// sort sorts the entries for lookup and clips the slices.
func (p *accountPart) sort() {
	p.entries = slices.Clip(p.entries)
	p.ids = slices.Clip(p.ids)
	slices.SortFunc(p.entries, func(a, b accountEntry) int { return bytes.Compare(a.key[:], b.key[:]) })
}

// lookup decodes and returns the account with the key.
func (p *accountPart) lookup(key shortHash) (Account, bool) {
	i, ok := slices.BinarySearchFunc(p.entries, key, func(e accountEntry, k shortHash) int {
		return bytes.Compare(e.key[:], k[:])
	})
	if !ok {
		return Account{}, false
	}
	var account Account
	entry := p.entries[i]
	if err := json.Unmarshal(p.raw[entry.start:entry.end], &account); err != nil {
		return Account{}, false
	}
	return account, true
}

// accountTable finds accounts by API key in all parts.
type accountTable struct {
	parts []*decodedPart
	keys  *hashIndex
	ids   *hashIndex
}

// keyHashes returns the key hashes of the part.
func (p *accountPart) keyHashes() []shortHash {
	hashes := make([]shortHash, len(p.entries))
	for i, entry := range p.entries {
		hashes[i] = entry.key
	}
	return hashes
}

// byKey returns the account with the API key.
func (t *accountTable) byKey(apiKey string) (Account, bool) {
	sum := sha256.Sum256([]byte(apiKey))
	key := shortHash(sum[:sha256.Size/2])
	part, ok := t.keys.find(key)
	if !ok {
		return Account{}, false
	}
	account, ok := t.parts[part].accounts.lookup(key)
	if !ok || !slices.Contains(account.KeySHA256, hex.EncodeToString(sum[:])) {
		return Account{}, false
	}
	return account, true
}

// newAccountTable indexes the parts. If previous has parts with the same names,
// only the changed parts are indexed again.
func newAccountTable(parts []*decodedPart, previous *accountTable) (*accountTable, []Problem) {
	table := &accountTable{parts: parts, keys: &hashIndex{}, ids: &hashIndex{}}
	before := make([]*accountPart, len(parts))
	if previous != nil && sameNames(parts, previous.parts) {
		table.keys = previous.keys.clone()
		table.ids = previous.ids.clone()
		for i := range parts {
			before[i] = previous.parts[i].accounts
		}
	}
	problems := table.updateChangedParts(before)
	table.keys.clip()
	table.ids.clip()
	return table, problems
}

// updateChangedParts indexes the parts that differ from before. It first removes
// the dropped hashes of all parts, since an account may move between parts.
func (t *accountTable) updateChangedParts(before []*accountPart) []Problem {
	var problems []Problem
	for i, part := range t.parts {
		if before[i] != nil && before[i] != part.accounts {
			t.keys.remove(before[i].keyHashes(), part.accounts.keyHashes())
			t.ids.remove(before[i].ids, part.accounts.ids)
		}
	}
	for i, part := range t.parts {
		if before[i] == part.accounts {
			continue
		}
		old := before[i]
		if old == nil {
			old = &accountPart{}
		}
		duplicateKeys := t.keys.replace(uint16(i), old.keyHashes(), part.accounts.keyHashes())
		duplicateIDs := t.ids.replace(uint16(i), old.ids, part.accounts.ids)
		problems = append(problems, duplicateProblems(part, "key_sha256", len(duplicateKeys))...)
		problems = append(problems, duplicateProblems(part, "id", len(duplicateIDs))...)
	}
	return problems
}

// duplicateProblems returns the problem of a part that has count values which other
// accounts use too, or nil if count is zero.
func duplicateProblems(part *decodedPart, field string, count int) []Problem {
	if count == 0 {
		return nil
	}
	return []Problem{{Part: part.name, Section: Accounts, Index: -1, Field: field, Message: "a value is in use by more than one account"}}
}

// sameNames reports whether both lists have the same part names in the same order.
func sameNames(a, b []*decodedPart) bool {
	return slices.EqualFunc(a, b, func(x, y *decodedPart) bool { return cmp.Compare(x.name, y.name) == 0 })
}
