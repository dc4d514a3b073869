// Package configuration manages the configuration that operators edit: the
// list of plans and the list of limits. It validates the lists, accepts edits
// by conditional writes to the platform's table service, and puts the newest
// accepted revision in force on each instance. An instance never goes back to
// an older revision. The package also follows the platform's records of
// database groups.
//
// docs/design/configuration.md describes the guarantees and their cost.
package configuration
