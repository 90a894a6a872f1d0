package config

import (
	"bytes"
	"slices"
)

// shardCount is the number of shards of a hashIndex.
const shardCount = 256

// indexEntry says which part a hash belongs to.
type indexEntry struct {
	hash shortHash
	part uint16
}

// hashIndex maps hashes to the numbers of parts. Its shards are sorted slices,
// which take less memory than maps. Copies share the shards that they do not
// change.
type hashIndex struct {
	shards [shardCount][]indexEntry
	// owned marks the shards that this copy may write.
	owned [shardCount]bool
}

// clone returns a copy that shares all shards.
func (x *hashIndex) clone() *hashIndex {
	return &hashIndex{shards: x.shards}
}

// own makes the shard of the hash writable.
func (x *hashIndex) own(hash shortHash) *[]indexEntry {
	n := hash[0]
	if !x.owned[n] {
		x.shards[n] = slices.Clone(x.shards[n])
		x.owned[n] = true
	}
	return &x.shards[n]
}

// search returns the place of the hash in its shard.
func (x *hashIndex) search(hash shortHash) (int, bool) {
	return slices.BinarySearchFunc(x.shards[hash[0]], hash, func(e indexEntry, h shortHash) int {
		return bytes.Compare(e.hash[:], h[:])
	})
}

// find returns the part of the hash.
func (x *hashIndex) find(hash shortHash) (uint16, bool) {
	i, ok := x.search(hash)
	if !ok {
		return 0, false
	}
	return x.shards[hash[0]][i].part, true
}

// insert adds a hash that is not there.
func (x *hashIndex) insert(hash shortHash, part uint16) {
	i, _ := x.search(hash)
	shard := x.own(hash)
	*shard = slices.Insert(*shard, i, indexEntry{hash: hash, part: part})
}

// delete takes a hash out, if it is there.
func (x *hashIndex) delete(hash shortHash) {
	if i, ok := x.search(hash); ok {
		shard := x.own(hash)
		*shard = slices.Delete(*shard, i, i+1)
	}
}

// clip gives back the memory that the shards have to spare.
func (x *hashIndex) clip() {
	for i, owned := range x.owned {
		if owned {
			x.shards[i] = slices.Clone(x.shards[i])
		}
	}
}

// replace takes the hashes of one part out and puts others in. It returns the
// hashes that were there already and leaves them as they were.
func (x *hashIndex) replace(part uint16, before, after []shortHash) (duplicates []shortHash) {
	x.remove(before, after)
	kept := make(map[shortHash]bool, len(before))
	for _, hash := range before {
		kept[hash] = true
	}
	for _, hash := range after {
		owner, present := x.find(hash)
		switch {
		case !present:
			x.insert(hash, part)
		case owner == part && kept[hash]:
			kept[hash] = false
		default:
			duplicates = append(duplicates, hash)
		}
	}
	return duplicates
}

// remove takes out the hashes of before that are not in after.
func (x *hashIndex) remove(before, after []shortHash) {
	stays := make(map[shortHash]bool, len(after))
	for _, hash := range after {
		stays[hash] = true
	}
	for _, hash := range before {
		if !stays[hash] {
			x.delete(hash)
		}
	}
}
