package platform

import (
	"maps"
	"slices"
	"strings"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/tables"
)

// recordTable is the in-memory table service. It is not safe for concurrent
// use; Server.mu protects it.
type recordTable struct {
	records map[string]tables.Record
	// results holds the first result of each transaction id.
	results     map[string]tables.Result
	lastVersion uint64
}

func newRecordTable() *recordTable {
	return &recordTable{
		records: make(map[string]tables.Record),
		results: make(map[string]tables.Result),
	}
}

// transact executes a transaction. If its id was executed before, it returns
// the first result instead.
func (t *recordTable) transact(transaction tables.Transaction) tables.Result {
	if result, ok := t.results[transaction.ID]; ok {
		return result
	}
	result := t.execute(transaction)
	t.results[transaction.ID] = result
	return result
}

// execute applies the writes of a transaction if all its conditions hold.
// Otherwise it returns the current records of the conditions' keys.
func (t *recordTable) execute(transaction tables.Transaction) tables.Result {
	if !t.allHold(transaction.Conditions) {
		return tables.Result{Records: t.conditionRecords(transaction.Conditions)}
	}
	t.lastVersion++
	result := tables.Result{Committed: true}
	for _, write := range transaction.Writes {
		result.Records = append(result.Records, t.apply(write))
	}
	return result
}

func (t *recordTable) allHold(conditions []tables.Condition) bool {
	for _, condition := range conditions {
		if t.records[condition.Key].Version != condition.Version {
			return false
		}
	}
	return true
}

func (t *recordTable) conditionRecords(conditions []tables.Condition) []tables.Record {
	records := make([]tables.Record, 0, len(conditions))
	for _, condition := range conditions {
		records = append(records, recordOf(t.records, condition.Key))
	}
	return records
}

// apply executes one write at lastVersion and returns the record without its
// value.
func (t *recordTable) apply(write tables.Write) tables.Record {
	if write.Delete {
		delete(t.records, write.Key)
		return tables.Record{Key: write.Key}
	}
	record := tables.Record{Key: write.Key, Value: write.Value, Version: t.lastVersion}
	t.records[write.Key] = record
	record.Value = nil
	return record
}

// restore replaces all records by those of an older snapshot, all at one new
// version.
func (t *recordTable) restore(snapshot map[string]tables.Record) {
	t.lastVersion++
	t.records = make(map[string]tables.Record, len(snapshot))
	for key, record := range snapshot {
		record.Version = t.lastVersion
		t.records[key] = record
	}
}

func (t *recordTable) snapshot() map[string]tables.Record {
	return maps.Clone(t.records)
}

// recordOf returns the record of key, or an empty one of version zero.
func recordOf(records map[string]tables.Record, key string) tables.Record {
	if record, ok := records[key]; ok {
		return record
	}
	return tables.Record{Key: key}
}

// scan returns the records whose key starts with prefix, sorted by key.
func scan(records map[string]tables.Record, prefix string) []tables.Record {
	found := make([]tables.Record, 0)
	for _, key := range slices.Sorted(maps.Keys(records)) {
		if strings.HasPrefix(key, prefix) {
			found = append(found, records[key])
		}
	}
	return found
}
