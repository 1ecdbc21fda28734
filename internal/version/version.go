// Package version names the version of the two binaries.
package version

import "runtime/debug"

// number is the version that the next release will have.
const number = "0.1.0-dev"

// String returns the version and, if known, the revision that was built.
func String() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return number
	}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			return number + " (" + s.Value + ")"
		}
	}
	return number
}
