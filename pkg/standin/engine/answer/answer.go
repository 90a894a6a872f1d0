// Package answer derives the text that a stand-in engine gives to a
// conversation. The text depends on nothing but the messages, so that whoever
// knows them can check a whole answer, also one that several engines gave in
// turns. It is pure.
package answer

import (
	"math"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Shape of the lengths: a log-normal distribution, cut off at both ends.
const (
	medianTokens = 32
	sigma        = 0.9
	maxTokens    = 1024
)

// words are the syllables of the text.
var words = [...]string{
	"ba", "be", "bi", "bo", "da", "de", "di", "do", "ka", "ke", "ki", "ko", "la", "le", "li", "lo",
	"ma", "me", "mi", "mo", "na", "ne", "ni", "no", "ra", "re", "ri", "ro", "sa", "se", "si", "so",
}

// Message is one message of a conversation.
type Message struct {
	Role    string
	Content string
}

// Answer is the text given to one conversation.
type Answer struct {
	hash   uint64
	length int
}

// New returns the answer to a conversation.
func New(messages []Message) Answer {
	digest := xxhash.New()
	for _, message := range messages {
		// A digest's writes cannot fail.
		_, _ = digest.WriteString(message.Role)
		_, _ = digest.WriteString("\x00")
		_, _ = digest.WriteString(message.Content)
		_, _ = digest.WriteString("\x01")
	}
	hash := digest.Sum64()
	return Answer{hash: hash, length: length(hash)}
}

// Length returns the number of tokens of the answer. A limit above zero cuts it.
func (a Answer) Length(limit int) int {
	if limit > 0 {
		return min(a.length, limit)
	}
	return a.length
}

// Truncated reports whether the limit cuts the answer.
func (a Answer) Truncated(limit int) bool { return limit > 0 && limit < a.length }

// Token returns the token at the index, with a space before all but the first.
func (a Answer) Token(index int) string {
	digest := xxhash.Sum64String(strconv.FormatUint(a.hash, 16) + "/" + strconv.Itoa(index))
	word := words[digest%uint64(len(words))] + words[digest>>32%uint64(len(words))]
	if index == 0 {
		return word
	}
	return " " + word
}

// Text returns the tokens from one index up to another, joined.
func (a Answer) Text(from, to int) string {
	var text strings.Builder
	for index := from; index < to; index++ {
		text.WriteString(a.Token(index))
	}
	return text.String()
}

// MatchPrefix returns the number of tokens that the partial text holds. It reports
// false when the text is not the beginning of the answer.
func (a Answer) MatchPrefix(partial string) (int, bool) {
	tokens := len(strings.Fields(partial))
	return tokens, tokens <= a.length && a.Text(0, tokens) == partial
}

// EstimateTokens estimates the number of tokens of a text as a model would read it.
func EstimateTokens(text string) int {
	const bytesPerToken = 4
	return (len(text) + bytesPerToken - 1) / bytesPerToken
}

// length maps a hash onto the distribution of lengths.
func length(hash uint64) int {
	uniform := (float64(hash>>11) + 0.5) / (1 << 53)
	normal := math.Sqrt2 * math.Erfinv(2*uniform-1)
	tokens := int(medianTokens * math.Exp(sigma*normal))
	return min(max(tokens, 1), maxTokens)
}
