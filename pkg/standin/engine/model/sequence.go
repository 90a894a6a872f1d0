package model

import (
	"cmp"
	"slices"
)

// sequence is one request inside the engine.
type sequence struct {
	request Request
	arrival uint64
	// parts are the shared parts of the prompt, and shared their tokens.
	parts  []PromptSegment
	shared int
	// generated counts the tokens produced, kept through preemptions.
	generated int
	// unread counts the tokens that must be read before the next one is
	// generated.
	unread int
	// planned is the part of unread that the current step reads.
	planned int
	// admitted says that the sequence is in the batch and holds memory.
	admitted bool
	// reserved is the memory held when the sequence was admitted.
	reserved int
	// base is the value of generated when the sequence was admitted.
	base int
	// inStep says that the current step includes the sequence.
	inStep bool
}

func newSequence(request Request, arrival uint64) *sequence {
	request.OutputTokens = max(request.OutputTokens, 1)
	request.PromptTokens = max(request.PromptTokens, 1)
	s := &sequence{request: request, arrival: arrival}
	for _, part := range request.parts() {
		if s.shared+part.Tokens > request.PromptTokens {
			break
		}
		s.parts, s.shared = append(s.parts, part), s.shared+part.Tokens
	}
	return s
}

// length is the number of tokens that memory must hold at admission.
func (s *sequence) length() int { return s.request.PromptTokens + s.generated }

// kv is the memory held.
func (s *sequence) kv() int { return s.reserved + s.generated - s.base }

// own is the part of length that is not shared.
func (s *sequence) own() int { return s.length() - s.shared }

// inMemory is the number of tokens before the next one to read.
func (s *sequence) inMemory() int { return s.length() - s.unread }

// admit takes memory; cached tokens need not be read again.
func (s *sequence) admit(cached int) {
	s.admitted = true
	s.reserved = s.own()
	s.base = s.generated
	// The last token of the prompt is always read, as it yields the next one.
	s.unread = max(s.length()-cached, 1)
}

// putBack gives up the memory; the tokens are read again at the next admission.
func (s *sequence) putBack() {
	s.admitted = false
	s.inStep = false
	s.planned = 0
}

// plan takes a share of the step's prompt budget and returns its size.
func (s *sequence) plan(budget int) int {
	s.inStep = true
	s.planned = min(s.unread, budget)
	return s.planned
}

// generates reports whether the planned step produces a token.
func (s *sequence) generates() bool { return s.planned == s.unread }

// endStep applies the planned step and reports whether it produced a token.
func (s *sequence) endStep() bool {
	if !s.inStep {
		return false
	}
	s.inStep = false
	s.unread -= s.planned
	s.planned = 0
	if s.unread > 0 {
		return false
	}
	s.generated++
	return true
}

func (s *sequence) done() bool { return s.generated >= s.request.OutputTokens }

// byRank orders sequences by priority and then by arrival; sooner is first.
func byRank(a, b *sequence) int {
	return cmp.Or(
		cmp.Compare(a.request.Priority, b.request.Priority),
		cmp.Compare(a.arrival, b.arrival),
	)
}

func insertByRank(list []*sequence, s *sequence) []*sequence {
	at, _ := slices.BinarySearchFunc(list, s, byRank)
	return slices.Insert(list, at, s)
}

func removeByRank(list []*sequence, s *sequence) []*sequence {
	at, found := slices.BinarySearchFunc(list, s, byRank)
	if !found {
		return list
	}
	return slices.Delete(list, at, at+1)
}
