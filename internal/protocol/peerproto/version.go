package peerproto

import "fmt"

// Version numbers the releases of the protocol that do not understand each
// other.
type Version uint16

// The versions that this release speaks.
const (
	LowestVersion  Version = 1
	HighestVersion Version = 1
)

// VersionRange is the versions that one side speaks, both ends included.
type VersionRange struct {
	Lowest  Version `msgpack:"lowest"`
	Highest Version `msgpack:"highest"`
}

// SupportedVersions is what this release speaks.
func SupportedVersions() VersionRange {
	return VersionRange{Lowest: LowestVersion, Highest: HighestVersion}
}

// VersionError says that two sides have no version in common.
type VersionError struct {
	Ours, Theirs VersionRange
}

// Error names both ranges.
func (e *VersionError) Error() string {
	return fmt.Sprintf("no common protocol version: ours %d to %d, theirs %d to %d",
		e.Ours.Lowest, e.Ours.Highest, e.Theirs.Lowest, e.Theirs.Highest)
}

// Negotiate returns the highest version that both ranges hold, or a
// *VersionError.
func Negotiate(ours, theirs VersionRange) (Version, error) {
	version := min(ours.Highest, theirs.Highest)
	if version < ours.Lowest || version < theirs.Lowest {
		return 0, &VersionError{Ours: ours, Theirs: theirs}
	}
	return version, nil
}
