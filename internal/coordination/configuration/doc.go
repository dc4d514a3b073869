// Package configuration keeps the operators' two lists: it validates them,
// accepts edits by conditional writes at the platform, and brings the newest
// accepted revision in force on each instance, never going back to an older
// one. It also follows the platform's records of database groups.
//
// docs/design/configuration.md says what is promised and what it costs.
package configuration
