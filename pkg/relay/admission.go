package relay

import "time"

// admissionState is the input of admit: what a starting instance knows about its
// configuration and the other instances.
type admissionState struct {
	// configured reports whether a configuration is in force.
	configured bool
	// listKnown reports whether the instance list has been read.
	listKnown bool
	// listed is the number of other instances in the list.
	listed int
	// serving is the number of listed instances that responded and already serve.
	// Their configuration, if newer, is in force here.
	serving int
	// notServing is the number of listed instances that responded and do not serve
	// yet.
	notServing int
	// elapsed is the time since the start.
	elapsed time.Duration
}

// admit reports whether a starting instance may serve. An instance that reaches
// none of the other listed instances is not admitted, regardless of the elapsed
// time: the configuration service may return a stale revision, and callers that
// know the address of another instance are better served there.
func admit(a admissionState, settings Settings) bool {
	switch {
	case !a.configured:
		return false
	case a.listed == 0:
		return a.listKnown
	case a.serving >= min(settings.AdmissionPeers, a.listed):
		return true
	case a.serving+a.notServing >= a.listed:
		return true
	case a.elapsed < settings.AdmissionWait:
		return false
	default:
		return a.serving > 0 || 2*a.notServing >= a.listed
	}
}
