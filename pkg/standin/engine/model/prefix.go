package model

import "container/list"

// prefixCache keeps the prompt prefixes used last within a number of tokens.
type prefixCache struct {
	capacity int
	used     int
	// order has the prefix used last at its front.
	order *list.List
	byKey map[uint64]*list.Element
}

// prefix is one entry of the cache.
type prefix struct {
	hash   uint64
	tokens int
}

func newPrefixCache(capacity int) *prefixCache {
	return &prefixCache{capacity: capacity, order: list.New(), byKey: make(map[uint64]*list.Element)}
}

// use reports whether the prefix is cached, and marks it as used.
func (c *prefixCache) use(hash uint64) bool {
	element, found := c.byKey[hash]
	if found {
		c.order.MoveToFront(element)
	}
	return found
}

// add caches a prefix and drops the least recently used ones beyond capacity.
func (c *prefixCache) add(hash uint64, tokens int) {
	if hash == 0 || tokens > c.capacity || c.use(hash) {
		return
	}
	c.byKey[hash] = c.order.PushFront(prefix{hash: hash, tokens: tokens})
	c.used += tokens
	for c.used > c.capacity {
		c.dropOldest()
	}
}

func (c *prefixCache) dropOldest() {
	oldest := c.order.Remove(c.order.Back()).(prefix)
	delete(c.byKey, oldest.hash)
	c.used -= oldest.tokens
}
