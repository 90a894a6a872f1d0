package config

import (
	"bytes"
	"slices"
)

// shardCount is the number of shards of a hashIndex.
const shardCount = 256

// indexEntry maps a hash to the number of its part.
type indexEntry struct {
	hash shortHash
	part uint16
}

// hashIndex maps hashes to the numbers of their parts. Its shards are sorted
// slices, which need less memory than maps. Clones share shards copy-on-write.
type hashIndex struct {
	shards [shardCount][]indexEntry
	// owned marks the shards that this index may modify.
	owned [shardCount]bool
}

// clone returns a copy that shares all shards with x.
func (x *hashIndex) clone() *hashIndex {
	return &hashIndex{shards: x.shards}
}

// writableShard returns the shard of the hash, copied first if it is shared.
func (x *hashIndex) writableShard(hash shortHash) *[]indexEntry {
	n := hash[0]
	if !x.owned[n] {
		x.shards[n] = slices.Clone(x.shards[n])
		x.owned[n] = true
	}
	return &x.shards[n]
}

// search returns the position of the hash in its shard.
func (x *hashIndex) search(hash shortHash) (int, bool) {
	return slices.BinarySearchFunc(x.shards[hash[0]], hash, func(e indexEntry, h shortHash) int {
		return bytes.Compare(e.hash[:], h[:])
	})
}

// find returns the number of the part that contains the hash.
func (x *hashIndex) find(hash shortHash) (uint16, bool) {
	i, ok := x.search(hash)
	if !ok {
		return 0, false
	}
	return x.shards[hash[0]][i].part, true
}

// insert adds a hash that the index does not contain.
func (x *hashIndex) insert(hash shortHash, part uint16) {
	i, _ := x.search(hash)
	shard := x.writableShard(hash)
	*shard = slices.Insert(*shard, i, indexEntry{hash: hash, part: part})
}

// delete removes a hash, if present.
func (x *hashIndex) delete(hash shortHash) {
	if i, ok := x.search(hash); ok {
		shard := x.writableShard(hash)
		*shard = slices.Delete(*shard, i, i+1)
	}
}

// clip releases the spare capacity of the modified shards.
func (x *hashIndex) clip() {
	for i, owned := range x.owned {
		if owned {
			x.shards[i] = slices.Clone(x.shards[i])
		}
	}
}

// replace replaces the hashes of one part. It returns the hashes of after that
// belong to another part or that after repeats; their entries are not changed.
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

// remove removes the hashes of before that are not in after.
func (x *hashIndex) remove(before, after []shortHash) {
	keep := make(map[shortHash]bool, len(after))
	for _, hash := range after {
		keep[hash] = true
	}
	for _, hash := range before {
		if !keep[hash] {
			x.delete(hash)
		}
	}
}
