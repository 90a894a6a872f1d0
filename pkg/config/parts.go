package config

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/umbercrank/umbercrank/pkg/configservice"
	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/types"
)

const (
	// MaxPartBytes is the maximum size of a part that the configuration service
	// stores.
	MaxPartBytes = 1 << 20
	// MaxDocumentBytes is the maximum total size of all parts of a configuration.
	MaxDocumentBytes = 24 << 20
	// maxParts is the maximum number of parts of a configuration.
	maxParts = 4096
	// accountBuckets is the number of parts that accounts are distributed over.
	accountBuckets = 256
	// upstreamBuckets is the number of parts that upstreams are distributed over.
	upstreamBuckets = 16
)

// Split encodes a document as parts by name. Each part is a document with some of
// the items. Accounts and upstreams are distributed over a fixed number of parts by
// the hash of their ID, so that a change of one item changes one small part. The
// order of classes, rules and targets is preserved.
func Split(document *Document) (map[string][]byte, error) {
	fragments := map[string]*Document{
		string(Classes): {Classes: document.Classes},
		string(Rules):   {Rules: document.Rules},
		string(Targets): {Targets: document.Targets},
	}
	for _, upstream := range document.Upstreams {
		name := bucketName(Upstreams, string(upstream.ID), upstreamBuckets)
		fragment := fragmentOf(fragments, name)
		fragment.Upstreams = append(fragment.Upstreams, upstream)
	}
	for _, account := range document.Accounts {
		name := bucketName(Accounts, string(account.ID), accountBuckets)
		fragment := fragmentOf(fragments, name)
		fragment.Accounts = append(fragment.Accounts, account)
	}
	return encodeFragments(fragments)
}

// bucketName returns the name of the part that contains the item.
func bucketName(section Section, id string, buckets uint64) string {
	return fmt.Sprintf("%s/%02x", section, xxhash.Sum64String(id)%buckets)
}

// fragmentOf returns the fragment with the name and creates it on first use.
func fragmentOf(fragments map[string]*Document, name string) *Document {
	fragment, ok := fragments[name]
	if !ok {
		fragment = &Document{}
		fragments[name] = fragment
	}
	return fragment
}

// encodeFragments encodes each fragment in canonical form.
func encodeFragments(fragments map[string]*Document) (map[string][]byte, error) {
	parts := make(map[string][]byte, len(fragments))
	for name, fragment := range fragments {
		slices.SortFunc(fragment.Upstreams, compareUpstreams)
		slices.SortFunc(fragment.Accounts, compareAccounts)
		text, err := json.Marshal(fragment.partial())
		if err != nil {
			return nil, fault.Wrap(fault.InvalidConfiguration, err, "cannot encode part "+name)
		}
		if len(text) > MaxPartBytes {
			return nil, invalidError([]Problem{partTooLarge(name, len(text))})
		}
		parts[name] = text
	}
	return parts, nil
}

// CheckManifest rejects a manifest with too many or too large parts before any of
// them is fetched. The error has code InvalidConfiguration.
func CheckManifest(manifest configservice.Manifest) error {
	sizes := make(map[string]int, len(manifest.Parts))
	for _, ref := range manifest.Parts {
		sizes[ref.Name] = ref.Size
	}
	return invalidError(checkSizes(len(manifest.Parts), sizes))
}

// checkSizes checks the number and the sizes of the parts.
func checkSizes(count int, sizes map[string]int) []Problem {
	var problems []Problem
	if count > maxParts {
		problems = append(problems, Problem{Index: -1, Message: fmt.Sprintf("%d parts, at most %d are allowed", count, maxParts)})
	}
	total := 0
	for _, name := range slices.Sorted(maps.Keys(sizes)) {
		total += sizes[name]
		if sizes[name] > MaxPartBytes {
			problems = append(problems, partTooLarge(name, sizes[name]))
		}
	}
	if total > MaxDocumentBytes {
		problems = append(problems, Problem{Index: -1, Message: fmt.Sprintf("%d bytes in all parts, at most %d are allowed", total, MaxDocumentBytes)})
	}
	return problems
}

// partTooLarge returns the problem of a part above MaxPartBytes.
func partTooLarge(name string, size int) Problem {
	return Problem{Part: name, Index: -1, Message: fmt.Sprintf("%d bytes, at most %d are allowed", size, MaxPartBytes)}
}

// partialDocument is a document whose empty sections are not encoded.
type partialDocument struct {
	Classes   []Class    `json:"classes,omitempty"`
	Rules     []Rule     `json:"rules,omitempty"`
	Targets   []Target   `json:"targets,omitempty"`
	Upstreams []Upstream `json:"upstreams,omitempty"`
	Accounts  []Account  `json:"accounts,omitempty"`
}

// partial returns the form in which a fragment is encoded.
func (d *Document) partial() partialDocument {
	return partialDocument{
		Classes:   d.Classes,
		Rules:     d.Rules,
		Targets:   d.Targets,
		Upstreams: d.Upstreams,
		Accounts:  d.Accounts,
	}
}

// Assemble joins parts into one document, in the order of their names.
func Assemble(parts map[string][]byte) (*Document, error) {
	document := &Document{}
	for _, name := range slices.Sorted(maps.Keys(parts)) {
		fragment, err := Parse(parts[name])
		if err != nil {
			return nil, setPart(err, name)
		}
		document.append(fragment)
		document.Accounts = append(document.Accounts, fragment.Accounts...)
	}
	return document, nil
}

// append adds the items of a fragment, except its accounts.
func (d *Document) append(fragment *Document) {
	d.Classes = append(d.Classes, fragment.Classes...)
	d.Rules = append(d.Rules, fragment.Rules...)
	d.Targets = append(d.Targets, fragment.Targets...)
	d.Upstreams = append(d.Upstreams, fragment.Upstreams...)
}

// setPart sets the part name of the problems of err and returns err.
func setPart(err error, name string) error {
	problems := Problems(err)
	for i := range problems {
		problems[i].Part = name
	}
	return err
}

// EncodedPart is one part in its published form.
type EncodedPart struct {
	Name   string
	Digest configservice.Digest
	Bytes  []byte
}

// Encode returns the parts sorted by name, and the manifest that lists them.
func Encode(revision types.Revision, parts map[string][]byte) ([]EncodedPart, configservice.Manifest) {
	manifest := configservice.Manifest{Revision: revision}
	encoded := make([]EncodedPart, 0, len(parts))
	for _, name := range slices.Sorted(maps.Keys(parts)) {
		part := EncodedPart{Name: name, Digest: configservice.DigestOf(parts[name]), Bytes: parts[name]}
		encoded = append(encoded, part)
		manifest.Parts = append(manifest.Parts, configservice.PartRef{Name: name, Digest: part.Digest, Size: len(part.Bytes)})
	}
	return encoded, manifest
}

func compareUpstreams(a, b Upstream) int { return cmp.Compare(string(a.ID), string(b.ID)) }

func compareAccounts(a, b Account) int { return cmp.Compare(string(a.ID), string(b.ID)) }
