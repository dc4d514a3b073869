package configuration

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"github.com/rotisserie/eris"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// Digest identifies a configuration by its revision and the hash of its
// contents. The zero Digest means that there is no configuration.
type Digest struct {
	Revision state.Revision `msgpack:"rev" json:"revision"`
	Hash     string         `msgpack:"hash" json:"hash"`
}

// DigestOf returns the digest of a configuration, or the zero Digest for nil.
func DigestOf(configuration *state.Configuration) Digest {
	if configuration == nil {
		return Digest{}
	}
	return Digest{Revision: configuration.Revision, Hash: hashOf(withoutNil(configuration))}
}

// document is a configuration with its digest.
type document struct {
	configuration *state.Configuration
	digest        Digest
}

// noDocument means that there is no configuration.
var noDocument = new(document)

func newDocument(configuration *state.Configuration) *document {
	return &document{configuration: configuration, digest: DigestOf(configuration)}
}

// withoutNil copies a configuration and replaces nil lists with empty ones.
// Some codecs do not distinguish the two; the hash must not depend on it.
func withoutNil(configuration *state.Configuration) state.Configuration {
	normal := *configuration
	normal.Plans = append([]state.Plan{}, configuration.Plans...)
	normal.Limits = make([]state.Limit, len(configuration.Limits))
	for i, limit := range configuration.Limits {
		limit.Databases = append([]state.GroupID{}, limit.Databases...)
		normal.Limits[i] = limit
	}
	return normal
}

// hashOf returns the SHA-256 of a value's JSON encoding, in hexadecimal. It
// panics if the value can't be encoded, which does not occur for the types that
// it is used with.
func hashOf(value any) string {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(eris.Wrap(err, "encode for the hash"))
	}
	sum := sha256.Sum256(encoded)
	return hex.EncodeToString(sum[:])
}

// decodeRecord decodes the JSON value of a record into a variable.
func decodeRecord(step string, value []byte, into any) error {
	if err := json.Unmarshal(value, into); err != nil {
		return eris.Wrapf(err, "%s: decode the record", step)
	}
	return nil
}

func encodeRecord(value any) []byte {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(eris.Wrap(err, "encode the record"))
	}
	return encoded
}
