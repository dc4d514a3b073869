// Package identity decides on whose behalf a client's statements run. A client
// presents a key, and the configuration says which workspace holds it.
//
// The decision depends only on its arguments and is made again for each statement
// that starts work at a database, so that a key that the configuration no longer
// holds ends what its open sessions may do. Keys are kept and compared as hashes.
package identity
