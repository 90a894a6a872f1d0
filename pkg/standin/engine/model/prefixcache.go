package model

import "container/list"

// PromptSegment is a segment of a prompt that several requests may share.
type PromptSegment struct {
	ID     uint64 `json:"id"`
	Tokens int    `json:"tokens"`
}

// prefixCache holds the key-value entries of shared prompt segments. Segments that
// running sequences use are pinned; idle segments are evicted in LRU order.
type prefixCache struct {
	// idleLimit bounds the tokens of idle segments.
	idleLimit int
	// inUse counts the tokens of segments in use, idle those of the others.
	inUse, idle int
	// lru has the most recently used segment at its front.
	lru  *list.List
	byID map[uint64]*list.Element
}

// cachedSegment is one entry of the cache.
type cachedSegment struct {
	PromptSegment
	refs int
	// computed is set when the prefill of the segment is complete.
	computed bool
}

func newPrefixCache(idleLimit int) *prefixCache {
	return &prefixCache{idleLimit: idleLimit, lru: list.New(), byID: make(map[uint64]*list.Element)}
}

// additionalTokens returns the tokens that acquiring the segments would add to
// those in use.
func (c *prefixCache) additionalTokens(segments []PromptSegment) int {
	tokens := 0
	for _, segment := range segments {
		if element, ok := c.byID[segment.ID]; !ok || element.Value.(*cachedSegment).refs == 0 {
			tokens += segment.Tokens
		}
	}
	return tokens
}

// acquire adds a reference to each segment and returns the number of their tokens
// that need no prefill. A segment counts only if it and all segments before it are
// computed.
func (c *prefixCache) acquire(segments []PromptSegment) int {
	cached, hit := 0, true
	for _, segment := range segments {
		element, ok := c.byID[segment.ID]
		if !ok {
			element = c.lru.PushFront(&cachedSegment{PromptSegment: segment})
			c.byID[segment.ID] = element
			c.idle += segment.Tokens
		}
		c.lru.MoveToFront(element)
		stored := element.Value.(*cachedSegment)
		if stored.refs == 0 {
			c.idle -= stored.Tokens
			c.inUse += stored.Tokens
		}
		stored.refs++
		if hit = hit && stored.computed; hit {
			cached += stored.Tokens
		}
	}
	return cached
}

// markComputed records that the prefill of the segments is complete.
func (c *prefixCache) markComputed(segments []PromptSegment) {
	for _, segment := range segments {
		if element, ok := c.byID[segment.ID]; ok {
			element.Value.(*cachedSegment).computed = true
		}
	}
}

// release drops one reference to each segment. Segments that are no longer
// referenced stay cached, within the idle limit, if they are computed.
func (c *prefixCache) release(segments []PromptSegment) {
	for _, segment := range segments {
		element, ok := c.byID[segment.ID]
		if !ok {
			continue
		}
		stored := element.Value.(*cachedSegment)
		stored.refs--
		if stored.refs > 0 {
			continue
		}
		c.inUse -= stored.Tokens
		c.idle += stored.Tokens
		if !stored.computed {
			c.remove(element)
		}
	}
	c.evict(c.idleLimit)
}

// evict removes idle segments, the least recently used first, until their tokens
// are within the limit.
func (c *prefixCache) evict(limit int) {
	for element := c.lru.Back(); element != nil && c.idle > max(limit, 0); {
		previous := element.Prev()
		if element.Value.(*cachedSegment).refs == 0 {
			c.remove(element)
		}
		element = previous
	}
}

func (c *prefixCache) remove(element *list.Element) {
	stored := c.lru.Remove(element).(*cachedSegment)
	delete(c.byID, stored.ID)
	c.idle -= stored.Tokens
}
