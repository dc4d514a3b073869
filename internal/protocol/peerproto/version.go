package peerproto

import "fmt"

// Version is the version of the protocol. It increases with each incompatible
// change.
type Version uint16

// The lowest and highest versions that this release supports.
const (
	LowestVersion  Version = 1
	HighestVersion Version = 1
)

// VersionRange is the inclusive range of versions that one side supports.
type VersionRange struct {
	Lowest  Version `msgpack:"lowest"`
	Highest Version `msgpack:"highest"`
}

// SupportedVersions returns the range of versions that this release supports.
func SupportedVersions() VersionRange {
	return VersionRange{Lowest: LowestVersion, Highest: HighestVersion}
}

// VersionError reports that two sides have no version in common.
type VersionError struct {
	Ours, Theirs VersionRange
}

// Error returns a message with both ranges.
func (e *VersionError) Error() string {
	return fmt.Sprintf("no common protocol version: ours %d to %d, theirs %d to %d",
		e.Ours.Lowest, e.Ours.Highest, e.Theirs.Lowest, e.Theirs.Highest)
}

// Negotiate returns the highest version that both ranges contain, or a
// *VersionError if there is none.
func Negotiate(ours, theirs VersionRange) (Version, error) {
	version := min(ours.Highest, theirs.Highest)
	if version < ours.Lowest || version < theirs.Lowest {
		return 0, &VersionError{Ours: ours, Theirs: theirs}
	}
	return version, nil
}
