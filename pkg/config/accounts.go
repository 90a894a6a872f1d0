package config

import (
	"bytes"
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"slices"
)

// shortHash is the first half of a SHA-256.
type shortHash [sha256.Size / 2]byte

// hashOf returns the shortHash of a text.
func hashOf(text string) shortHash {
	sum := sha256.Sum256([]byte(text))
	return shortHash(sum[:sha256.Size/2])
}

// keyHash reads the shortHash from a published key_sha256.
func keyHash(published string) (shortHash, bool) {
	sum, err := hex.DecodeString(published)
	if err != nil || len(sum) != sha256.Size {
		return shortHash{}, false
	}
	return shortHash(sum[:sha256.Size/2]), true
}

// accountEntry finds an account's JSON within its part by the hash of a key.
type accountEntry struct {
	key        shortHash
	start, end uint32
}

// accountPart is the index of the accounts of one part. The accounts stay in
// their JSON form and are decoded on use: at tens of thousands of accounts the
// decoded form takes several times the memory.
type accountPart struct {
	raw     []byte
	entries []accountEntry
	ids     []shortHash
}

// add indexes one account that stands between start and end of the part.
func (p *accountPart) add(account Account, start, end int) {
	p.ids = append(p.ids, hashOf(string(account.ID)))
	for _, published := range account.KeySHA256 {
		if key, ok := keyHash(published); ok {
			p.entries = append(p.entries, accountEntry{key: key, start: uint32(start), end: uint32(end)})
		}
	}
}

// sort orders the entries for lookup.
func (p *accountPart) sort() {
	p.entries = slices.Clip(p.entries)
	p.ids = slices.Clip(p.ids)
	slices.SortFunc(p.entries, func(a, b accountEntry) int { return bytes.Compare(a.key[:], b.key[:]) })
}

// lookup decodes the account that has the key.
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

// accountTable finds accounts by API key over all parts.
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

// byKey returns the account that has the API key.
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

// newAccountTable indexes the parts. When previous has parts of the same names,
// only the parts that changed are indexed again.
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
	problems := table.replaceChanged(before)
	table.keys.clip()
	table.ids.clip()
	return table, problems
}

// replaceChanged indexes the parts that differ from before. Hashes that leave
// are taken out of all parts first, since an account may move between parts.
func (t *accountTable) replaceChanged(before []*accountPart) []Problem {
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
		problems = append(problems, duplicates(part, "key_sha256", len(duplicateKeys))...)
		problems = append(problems, duplicates(part, "id", len(duplicateIDs))...)
	}
	return problems
}

// duplicates is the problem of values of a part that other accounts have too.
func duplicates(part *decodedPart, field string, count int) []Problem {
	if count == 0 {
		return nil
	}
	return []Problem{{Part: part.name, Section: Accounts, Index: -1, Field: field, Message: "a value is in use by more than one account"}}
}

// sameNames reports whether both lists have parts of the same names in the same
// order.
func sameNames(a, b []*decodedPart) bool {
	return slices.EqualFunc(a, b, func(x, y *decodedPart) bool { return cmp.Compare(x.name, y.name) == 0 })
}
