package model

import "container/list"

// PromptSegment is a part of a prompt that requests may share.
type PromptSegment struct {
	ID     uint64 `json:"id"`
	Tokens int    `json:"tokens"`
}

// partMemory keeps the parts of prompts. Those that running sequences use stay;
// the others yield, the least recently used first.
type partMemory struct {
	// spare bounds the tokens of parts that nobody uses.
	spare int
	// used counts the tokens of parts in use, kept those of the others.
	used, kept int
	// order has the part used last at its front.
	order *list.List
	byID  map[uint64]*list.Element
}

// storedPart is one entry of the memory.
type storedPart struct {
	PromptSegment
	users int
	// read says that the part was read to its end.
	read bool
}

func newPartMemory(spare int) *partMemory {
	return &partMemory{spare: spare, order: list.New(), byID: make(map[uint64]*list.Element)}
}

// missing returns the tokens that the parts would add to those in use.
func (m *partMemory) missing(parts []PromptSegment) int {
	tokens := 0
	for _, part := range parts {
		if element, ok := m.byID[part.ID]; !ok || element.Value.(*storedPart).users == 0 {
			tokens += part.Tokens
		}
	}
	return tokens
}

// take puts the parts to use and returns how many of their tokens need not be
// read: a part helps only if all before it were read.
func (m *partMemory) take(parts []PromptSegment) int {
	saved, whole := 0, true
	for _, part := range parts {
		element, ok := m.byID[part.ID]
		if !ok {
			element = m.order.PushFront(&storedPart{PromptSegment: part})
			m.byID[part.ID] = element
			m.kept += part.Tokens
		}
		m.order.MoveToFront(element)
		stored := element.Value.(*storedPart)
		if stored.users == 0 {
			m.kept -= stored.Tokens
			m.used += stored.Tokens
		}
		stored.users++
		if whole = whole && stored.read; whole {
			saved += stored.Tokens
		}
	}
	return saved
}

// finish notes that the parts were read to their end.
func (m *partMemory) finish(parts []PromptSegment) {
	for _, part := range parts {
		if element, ok := m.byID[part.ID]; ok {
			element.Value.(*storedPart).read = true
		}
	}
}

// release ends one use of the parts.
func (m *partMemory) release(parts []PromptSegment) {
	for _, part := range parts {
		element, ok := m.byID[part.ID]
		if !ok {
			continue
		}
		stored := element.Value.(*storedPart)
		stored.users--
		if stored.users > 0 {
			continue
		}
		m.used -= stored.Tokens
		m.kept += stored.Tokens
		if !stored.read {
			m.drop(element)
		}
	}
	m.shrink(m.spare)
}

// shrink drops parts that nobody uses until no more than the limit is kept.
func (m *partMemory) shrink(limit int) {
	for element := m.order.Back(); element != nil && m.kept > max(limit, 0); {
		before := element.Prev()
		if element.Value.(*storedPart).users == 0 {
			m.drop(element)
		}
		element = before
	}
}

func (m *partMemory) drop(element *list.Element) {
	stored := m.order.Remove(element).(*storedPart)
	delete(m.byID, stored.ID)
	m.kept -= stored.Tokens
}
