package relay

import "time"

// admission is what a fresh instance knows when it asks whether it may serve.
type admission struct {
	// held says that a configuration is in force.
	held bool
	// listKnown says that the instance list has been read.
	listKnown bool
	// listed counts the other instances of the list.
	listed int
	// serving counts those that answered, serve, and whose configuration is in
	// force here if it was newer.
	serving int
	// fresh counts those that answered and do not serve yet.
	fresh int
	// elapsed is the time since the start.
	elapsed time.Duration
}

// admit decides whether a fresh instance may serve. An instance that reaches
// none of the listed others stays out, however long that takes: the service may
// be stale, and callers who hold another address are better served there.
func admit(a admission, settings Settings) bool {
	switch {
	case !a.held:
		return false
	case a.listed == 0:
		return a.listKnown
	case a.serving >= min(settings.AdmissionPeers, a.listed):
		return true
	case a.serving+a.fresh >= a.listed:
		return true
	case a.elapsed < settings.AdmissionWait:
		return false
	default:
		return a.serving > 0 || 2*a.fresh >= a.listed
	}
}
