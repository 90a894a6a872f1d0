// Package version tells which build of the router is running.
package version

import "runtime/debug"

// Number is the version of the next release.
const Number = "0.1.0"

// String returns the version with the revision that the build was made from,
// when the toolchain recorded one.
func String() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return Number
	}
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			return Number + "+" + setting.Value
		}
	}
	return Number
}
