package database

import (
	"context"
	"database/sql"
	"strings"
	"sync"

	"github.com/rotisserie/eris"
	_ "modernc.org/sqlite" // registers the driver
)

// engine is one in-memory SQLite database on one connection.
type engine struct {
	// readOnly restricts changes of the data to apply and rebuild.
	readOnly bool

	mu         sync.Mutex // protects database and connection
	database   *sql.DB
	connection *sql.Conn
}

func newEngine(readOnly bool) (*engine, error) {
	e := &engine{readOnly: readOnly}
	return e, e.rebuild(nil)
}

// resetLocked replaces the database with an empty one.
func (e *engine) resetLocked() error {
	e.closeLocked()
	database, err := sql.Open("sqlite", ":memory:")
	if err != nil {
		return eris.Wrap(err, "open in-memory database")
	}
	connection, err := database.Conn(context.Background())
	if err != nil {
		_ = database.Close()
		return eris.Wrap(err, "open in-memory database")
	}
	e.database, e.connection = database, connection
	return e.setQueryOnlyLocked(true)
}

func (e *engine) close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.closeLocked()
}

func (e *engine) closeLocked() {
	if e.connection != nil {
		_ = e.connection.Close()
		_ = e.database.Close()
		e.connection = nil
	}
}

// exec runs a statement that returns no rows. It takes no context, since the
// driver may close the connection of an interrupted statement, and the in-memory
// database would be lost with it.
func (e *engine) exec(text string, args ...any) (affected int64, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.execLocked(text, args...)
}

func (e *engine) execLocked(text string, args ...any) (affected int64, err error) {
	outcome, err := e.connection.ExecContext(context.Background(), text, args...)
	if err != nil {
		return 0, err
	}
	return outcome.RowsAffected()
}

// query runs a statement and reads all of its rows.
func (e *engine) query(text string, args ...any) (*result, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	rows, err := e.connection.QueryContext(context.Background(), text, args...)
	if err != nil {
		return nil, err
	}
	defer func() { _ = rows.Close() }()
	res, err := newResult(rows)
	if err != nil {
		return nil, err
	}
	for rows.Next() {
		row, err := scanRow(rows, len(res.columns))
		if err != nil {
			return nil, err
		}
		res.rows = append(res.rows, row)
	}
	res.inferTypes()
	return res, rows.Err()
}

// apply runs the statements of one entry in one transaction. No query sees it
// partly applied.
func (e *engine) apply(entry Entry) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.applyLocked(entry)
}

func (e *engine) applyLocked(entry Entry) error {
	if len(entry.Statements) == 0 {
		return nil
	}
	if err := e.setQueryOnlyLocked(false); err != nil {
		return err
	}
	if _, err := e.execLocked("BEGIN"); err != nil {
		return err
	}
	for _, statement := range entry.Statements {
		if _, err := e.execLocked(statement.SQL, statement.Args...); err != nil {
			_, _ = e.execLocked("ROLLBACK")
			_ = e.setQueryOnlyLocked(true)
			return eris.Wrapf(err, "apply entry %s", entry.Position)
		}
	}
	if _, err := e.execLocked("COMMIT"); err != nil {
		return err
	}
	return e.setQueryOnlyLocked(true)
}

// setQueryOnlyLocked forbids or permits writes. It does nothing unless the
// engine is read-only.
func (e *engine) setQueryOnlyLocked(queryOnly bool) error {
	if !e.readOnly {
		return nil
	}
	setting := "PRAGMA query_only = OFF"
	if queryOnly {
		setting = "PRAGMA query_only = ON"
	}
	_, err := e.execLocked(setting)
	return err
}

// rollback ends the open transaction. It ignores the error, since SQLite may
// have ended the transaction already.
func (e *engine) rollback() {
	_, _ = e.exec("ROLLBACK")
}

// rebuild replaces the data with the result of applying a log to an empty
// database.
func (e *engine) rebuild(log entryLog) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.resetLocked(); err != nil {
		return err
	}
	for _, entry := range log {
		if err := e.applyLocked(entry); err != nil {
			return err
		}
	}
	return nil
}

func scanRow(rows *sql.Rows, width int) ([]any, error) {
	row := make([]any, width)
	targets := make([]any, width)
	for i := range row {
		targets[i] = &row[i]
	}
	if err := rows.Scan(targets...); err != nil {
		return nil, err
	}
	return row, nil
}

func newResult(rows *sql.Rows) (*result, error) {
	types, err := rows.ColumnTypes()
	if err != nil {
		return nil, err
	}
	res := &result{}
	for _, columnType := range types {
		declared := strings.ToLower(columnType.DatabaseTypeName())
		res.columns = append(res.columns, column{name: columnType.Name(), oid: declaredOID(declared)})
	}
	return res, nil
}
