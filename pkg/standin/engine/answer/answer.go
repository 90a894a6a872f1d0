// Package answer generates the text with which a stand-in engine answers a
// conversation. The text is a deterministic function of the messages, so a client
// can verify a complete answer, including one that several engines generated in
// turn after a resume. The package has no state and does no I/O.
package answer

import (
	"math"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Parameters of the answer length, a log-normal distribution truncated to
// [1, maxTokens].
const (
	medianTokens = 32
	sigma        = 0.9
	maxTokens    = 1024
)

// syllables are the building blocks of the text. A token is two of them.
var syllables = [...]string{
	"ba", "be", "bi", "bo", "da", "de", "di", "do", "ka", "ke", "ki", "ko", "la", "le", "li", "lo",
	"ma", "me", "mi", "mo", "na", "ne", "ni", "no", "ra", "re", "ri", "ro", "sa", "se", "si", "so",
}

// Message is one message of a conversation.
type Message struct {
	Role    string
	Content string
}

// Answer is the text generated for one conversation.
type Answer struct {
	hash   uint64
	length int
}

// New returns the answer to the conversation.
func New(messages []Message) Answer {
	digest := xxhash.New()
	for _, message := range messages {
		// Writes to the digest never return an error.
		_, _ = digest.WriteString(message.Role)
		_, _ = digest.WriteString("\x00")
		_, _ = digest.WriteString(message.Content)
		_, _ = digest.WriteString("\x01")
	}
	hash := digest.Sum64()
	return Answer{hash: hash, length: length(hash)}
}

// Length returns the number of tokens of the answer. A positive limit truncates
// the answer to that many tokens.
func (a Answer) Length(limit int) int {
	if limit > 0 {
		return min(a.length, limit)
	}
	return a.length
}

// Truncated reports whether the limit is positive and shorter than the answer.
func (a Answer) Truncated(limit int) bool { return limit > 0 && limit < a.length }

// Token returns the token at the index. All tokens but the first start with a
// space.
func (a Answer) Token(index int) string {
	digest := xxhash.Sum64String(strconv.FormatUint(a.hash, 16) + "/" + strconv.Itoa(index))
	word := syllables[digest%uint64(len(syllables))] + syllables[digest>>32%uint64(len(syllables))]
	if index == 0 {
		return word
	}
	return " " + word
}

// Text returns the concatenated tokens of the half-open range [from, to).
func (a Answer) Text(from, to int) string {
	var text strings.Builder
	for index := from; index < to; index++ {
		text.WriteString(a.Token(index))
	}
	return text.String()
}

// MatchPrefix returns the number of tokens in the partial text and reports whether
// the text is a prefix of the answer.
func (a Answer) MatchPrefix(partial string) (int, bool) {
	tokens := len(strings.Fields(partial))
	return tokens, tokens <= a.length && a.Text(0, tokens) == partial
}

// EstimateTokens estimates the number of prompt tokens of the text.
func EstimateTokens(text string) int {
	const bytesPerToken = 4
	return (len(text) + bytesPerToken - 1) / bytesPerToken
}

// length maps a hash to a length drawn from the length distribution.
func length(hash uint64) int {
	uniform := (float64(hash>>11) + 0.5) / (1 << 53)
	normal := math.Sqrt2 * math.Erfinv(2*uniform-1)
	tokens := int(medianTokens * math.Exp(sigma*normal))
	return min(max(tokens, 1), maxTokens)
}
