package configuration

import (
	"context"
	"strconv"

	"github.com/google/uuid"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/tables"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// Keys of the configuration's records in the table service.
const (
	// KeyHead is the key of the current configuration's Digest.
	KeyHead = "configuration/head"
	// KeyCurrent is the key of the current configuration.
	KeyCurrent = "configuration/current"
	// prefixHistory, followed by a revision, is the key of that configuration.
	prefixHistory = "configuration/history/"
	// prefixEdits, followed by an edit id, is the key of an editRecord.
	prefixEdits = "configuration/edits/"
)

func historyKey(revision state.Revision) string {
	return prefixHistory + strconv.FormatUint(uint64(revision), 10)
}

func editKey(editID string) string {
	return prefixEdits + editID
}

// Tables is the part of the platform's table service that the store uses.
type Tables interface {
	tables.Reader
	tables.Transactor
}

// Store reads and writes the accepted configuration in the platform's table
// service. It caches nothing and is safe for concurrent use.
type Store struct {
	tables Tables
}

// NewStore returns a store that uses the platform's table service.
func NewStore(service Tables) *Store {
	return &Store{tables: service}
}

// editRecord is the record of an accepted edit, stored under the edit's id.
type editRecord struct {
	Revision state.Revision `json:"revision"`
	// ChangeHash is the hash of the change that the operator sent.
	ChangeHash string `json:"change_hash"`
}

// current is the decoded record of KeyCurrent, with the versions of the records
// KeyCurrent and KeyHead.
type current struct {
	configuration *state.Configuration
	version       uint64
	headVersion   uint64
}

// Head returns the digest of the current configuration, or the zero Digest
// before the first edit. The read may be stale.
func (s *Store) Head(ctx context.Context) (Digest, error) {
	records, err := s.tables.Get(ctx, KeyHead)
	if err != nil {
		return Digest{}, err
	}
	return decodeHead(records[0])
}

func decodeHead(record tables.Record) (Digest, error) {
	var digest Digest
	if !record.Exists() {
		return digest, nil
	}
	err := decodeRecord("read configuration head", record.Value, &digest)
	return digest, err
}

// Current returns the current configuration, or nil before the first edit. The
// read may be stale.
func (s *Store) Current(ctx context.Context) (*state.Configuration, error) {
	records, err := s.tables.Get(ctx, KeyCurrent)
	if err != nil {
		return nil, err
	}
	return decodeConfiguration(records[0])
}

func decodeConfiguration(record tables.Record) (*state.Configuration, error) {
	if !record.Exists() {
		return nil, nil
	}
	configuration := new(state.Configuration)
	if err := decodeRecord("read configuration", record.Value, configuration); err != nil {
		return nil, err
	}
	return configuration, nil
}

// Revision returns the configuration of one revision from the history, or nil if
// it is not in the history. Revision zero is an empty configuration.
func (s *Store) Revision(ctx context.Context, revision state.Revision) (*state.Configuration, error) {
	if revision == 0 {
		return &state.Configuration{}, nil
	}
	records, err := s.tables.Get(ctx, historyKey(revision))
	if err != nil {
		return nil, err
	}
	return decodeConfiguration(records[0])
}

// History returns the configurations of the latest limit revisions, the newest
// first. Revisions that are not in the history are skipped.
func (s *Store) History(ctx context.Context, limit int) ([]*state.Configuration, error) {
	head, err := s.Head(ctx)
	if err != nil || head.Revision == 0 {
		return nil, err
	}
	keys := make([]string, 0, limit)
	for revision := head.Revision; revision > 0 && len(keys) < limit; revision-- {
		keys = append(keys, historyKey(revision))
	}
	records, err := s.tables.Get(ctx, keys...)
	if err != nil {
		return nil, err
	}
	history := make([]*state.Configuration, 0, len(records))
	for _, record := range records {
		configuration, err := decodeConfiguration(record)
		if err != nil {
			return nil, err
		}
		if configuration != nil {
			history = append(history, configuration)
		}
	}
	return history, nil
}

// FindEdit returns the revision that an edit created, or zero if no edit with
// that id has been accepted. The read is never stale.
func (s *Store) FindEdit(ctx context.Context, editID string) (state.Revision, error) {
	records, err := tables.ReadLatest(ctx, s.tables, uuid.NewString(), editKey(editID))
	if err != nil {
		return 0, err
	}
	record, err := decodeEdit(records[0])
	return record.Revision, err
}

func decodeEdit(record tables.Record) (editRecord, error) {
	var edit editRecord
	if !record.Exists() {
		return edit, nil
	}
	err := decodeRecord("read edit", record.Value, &edit)
	return edit, err
}

// readLatest reads the current configuration and an edit's record. The reads are
// never stale. Before the first edit, the configuration is an empty one.
func (s *Store) readLatest(ctx context.Context, editID string) (current, editRecord, error) {
	records, err := tables.ReadLatest(ctx, s.tables, uuid.NewString(), KeyCurrent, editKey(editID), KeyHead)
	if err != nil {
		return current{}, editRecord{}, err
	}
	configuration, err := decodeConfiguration(records[0])
	if err != nil {
		return current{}, editRecord{}, err
	}
	if configuration == nil {
		configuration = &state.Configuration{}
	}
	edit, err := decodeEdit(records[1])
	latest := current{configuration: configuration, version: records[0].Version, headVersion: records[2].Version}
	return latest, edit, err
}
