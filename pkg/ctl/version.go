package ctl

import "runtime/debug"

// version returns the version of the build: the module's, or the revision of
// the source that it was built from.
func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			return info.Main.Version + " (" + setting.Value + ")"
		}
	}
	return info.Main.Version
}
