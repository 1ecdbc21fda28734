// Package version provides the version of the laburnumpass and laburnumpassd
// binaries.
package version

import "runtime/debug"

// baseVersion is the version of the next release.
const baseVersion = "0.1.0-dev"

// String returns the version, followed by the VCS revision in parentheses if the
// build information contains it.
func String() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return baseVersion
	}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			return baseVersion + " (" + s.Value + ")"
		}
	}
	return baseVersion
}
