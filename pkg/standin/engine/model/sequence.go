package model

import (
	"cmp"
	"slices"
)

// sequence is the state of one request in the engine.
type sequence struct {
	request Request
	arrival uint64
	// segments are the shared segments of the prompt, sharedLength their tokens.
	segments     []PromptSegment
	sharedLength int
	// generated counts the tokens produced. Preemption does not reset it.
	generated int
	// prefillLeft counts the tokens that need prefill before the next token is
	// generated.
	prefillLeft int
	// planned is the part of prefillLeft that the current step processes.
	planned int
	// admitted is set while the sequence is in the batch and holds memory.
	admitted bool
	// reserved is the number of unshared tokens held at admission.
	reserved int
	// generatedBefore is the value of generated at admission.
	generatedBefore int
	// inStep is set while the current step includes the sequence.
	inStep bool
}

func newSequence(request Request, arrival uint64) *sequence {
	request.OutputTokens = max(request.OutputTokens, 1)
	request.PromptTokens = max(request.PromptTokens, 1)
	s := &sequence{request: request, arrival: arrival}
	for _, segment := range request.segments() {
		if s.sharedLength+segment.Tokens > request.PromptTokens {
			break
		}
		s.segments, s.sharedLength = append(s.segments, segment), s.sharedLength+segment.Tokens
	}
	return s
}

// length is the number of tokens in the prompt and the output so far.
func (s *sequence) length() int { return s.request.PromptTokens + s.generated }

// unsharedKV is the number of unshared tokens that the sequence holds in memory.
func (s *sequence) unsharedKV() int { return s.reserved + s.generated - s.generatedBefore }

// unsharedLength is the part of length outside shared segments.
func (s *sequence) unsharedLength() int { return s.length() - s.sharedLength }

// contextLength is the number of tokens before the next one to prefill.
func (s *sequence) contextLength() int { return s.length() - s.prefillLeft }

// admit reserves memory. The cached tokens need no prefill.
func (s *sequence) admit(cached int) {
	s.admitted = true
	s.reserved = s.unsharedLength()
	s.generatedBefore = s.generated
	// The last token always needs prefill because it yields the next token.
	s.prefillLeft = max(s.length()-cached, 1)
}

// preempt frees the memory. The next admission repeats the prefill.
func (s *sequence) preempt() {
	s.admitted = false
	s.inStep = false
	s.planned = 0
}

// plan takes a share of the step's prefill budget and returns its size.
func (s *sequence) plan(budget int) int {
	s.inStep = true
	s.planned = min(s.prefillLeft, budget)
	return s.planned
}

// generates reports whether the planned step produces a token.
func (s *sequence) generates() bool { return s.planned == s.prefillLeft }

// endStep applies the planned step and reports whether it produced a token.
func (s *sequence) endStep() bool {
	if !s.inStep {
		return false
	}
	s.inStep = false
	s.prefillLeft -= s.planned
	s.planned = 0
	if s.prefillLeft > 0 {
		return false
	}
	s.generated++
	return true
}

func (s *sequence) done() bool { return s.generated >= s.request.OutputTokens }

// compareSequences orders sequences by priority and then by arrival.
func compareSequences(a, b *sequence) int {
	return cmp.Or(
		cmp.Compare(a.request.Priority, b.request.Priority),
		cmp.Compare(a.arrival, b.arrival),
	)
}

func insertSorted(list []*sequence, s *sequence) []*sequence {
	at, _ := slices.BinarySearchFunc(list, s, compareSequences)
	return slices.Insert(list, at, s)
}

func removeSorted(list []*sequence, s *sequence) []*sequence {
	at, found := slices.BinarySearchFunc(list, s, compareSequences)
	if !found {
		return list
	}
	return slices.Delete(list, at, at+1)
}
