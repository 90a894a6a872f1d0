package quarantine

import "time"

const (
	// maxSoundParts is the maximum number of parts that are remembered as sound.
	maxSoundParts = 8192
	// soundTTL is how long a part is known to be sound after an answer.
	soundTTL = 10 * time.Minute
	// maxClearings is the number of times that a part is cleared again on the same
	// evidence of its own, clearings by other instances included.
	maxClearings = 3
)

// soundness is what is known in favour of a part.
type soundness struct {
	// at is the time of the last evidence, an answer or a clearing by a peer.
	at time.Duration
	// own is set if this instance received an answer itself, the last one at answered.
	own      bool
	answered time.Duration
	// clearings is the number of clearings sent or heard since that answer.
	clearings int
}

// soundMemory is a bounded set of parts known to be sound. It forgets those that were
// used least recently.
type soundMemory struct {
	recent, older map[Fingerprint]soundness
}

func newSoundMemory() soundMemory {
	return soundMemory{recent: make(map[Fingerprint]soundness), older: make(map[Fingerprint]soundness)}
}

// get returns the unexpired evidence for a part.
func (m *soundMemory) get(now time.Duration, fp Fingerprint) (soundness, bool) {
	known, ok := m.recent[fp]
	if !ok {
		known, ok = m.older[fp]
	}
	return known, ok && now-known.at < soundTTL
}

// put stores the evidence for a part.
func (m *soundMemory) put(fp Fingerprint, known soundness) {
	if _, ok := m.recent[fp]; !ok && len(m.recent) >= maxSoundParts/2 {
		clear(m.older)
		m.recent, m.older = m.older, m.recent
	}
	m.recent[fp] = known
}

// forget removes a part.
func (m *soundMemory) forget(fp Fingerprint) {
	delete(m.recent, fp)
	delete(m.older, fp)
}
