package processes

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/stretchr/testify/require"
)

// requestBound is how long any request may stay without an outcome. It is the
// sum of the longest waits that an instance may impose (a change of primary, a
// queue) and a margin, so it never decides on a slow machine.
const requestBound = 40 * time.Second

// outcome is what a client knows of a request.
type outcome string

const (
	done    outcome = "done"
	notRun  outcome = "not run"
	unknown outcome = "unknown"
)

const (
	codeAdminShutdown = "57P01" // the session was ended while it was idle
	codeLeaving       = "57P03" // the instance takes no new sessions
	codeFailed        = "25P02" // the transaction was lost
	codeAlreadyRun    = "Y1001" // the request id had run
)

// answer is an outcome with what came along.
type answer struct {
	outcome    outcome
	code       string // SQLSTATE, empty without one
	retryAfter time.Duration
	err        error
}

// classify reads an error as an application does: by SQLSTATE and detail. An
// error without either is a lost connection, whose request may have run.
func classify(err error) answer {
	if err == nil {
		return answer{outcome: done}
	}
	var pgErr *pgconn.PgError
	if !errors.As(err, &pgErr) {
		return answer{outcome: unknown, err: err}
	}
	a := answer{outcome: unknown, code: pgErr.Code, err: err}
	var detail struct {
		Outcome          string `json:"outcome"`
		RetryAfterMillis int64  `json:"retry_after_ms"`
	}
	_ = json.Unmarshal([]byte(pgErr.Detail), &detail)
	a.retryAfter = time.Duration(detail.RetryAfterMillis) * time.Millisecond
	switch {
	case detail.Outcome == "not_run", pgErr.Code == codeAdminShutdown, pgErr.Code == codeFailed, pgErr.Code == codeLeaving:
		a.outcome = notRun
	case pgErr.Code == codeAlreadyRun:
		a.outcome = done
	case detail.Outcome != "unknown":
		a.outcome = outcome("database error " + pgErr.Code)
	}
	return a
}

// describe returns an error with its detail, which names step and peer.
func describe(err error) string {
	var pgErr *pgconn.PgError
	if errors.As(err, &pgErr) {
		return pgErr.Error() + " " + pgErr.Detail
	}
	return fmt.Sprint(err)
}

// session is one client session. It is for one goroutine.
type session struct {
	conn *pgconn.PgConn
	at   *instance
}

// connect opens a session on an instance; token may be empty.
func connect(at *instance, token string) (*session, error) {
	ctx, cancel := context.WithTimeout(context.Background(), requestBound)
	defer cancel()
	url := fmt.Sprintf("postgres://%s:%s@%s/%s?sslmode=disable", userName, password, at.clients, groupName)
	config, err := pgconn.ParseConfig(url)
	if err != nil {
		return nil, err
	}
	if token != "" {
		config.RuntimeParams["cyclamenpin.session_token"] = token
	}
	conn, err := pgconn.ConnectConfig(ctx, config)
	if err != nil {
		return nil, err
	}
	return &session{conn: conn, at: at}, nil
}

func mustConnect(t *testing.T, at *instance, token string) *session {
	t.Helper()
	s, err := connect(at, token)
	require.NoError(t, err)
	t.Cleanup(s.close)
	return s
}

// exec runs a statement by the simple protocol and returns its answer and the
// first value of its result.
func (s *session) exec(sql string) (answer, string) {
	ctx, cancel := context.WithTimeout(context.Background(), requestBound)
	defer cancel()
	results, err := s.conn.Exec(ctx, sql).ReadAll()
	a := classify(err)
	if a.outcome == done && err == nil && len(results) > 0 {
		last := results[len(results)-1]
		if len(last.Rows) > 0 {
			return a, string(last.Rows[0][0])
		}
		return a, last.CommandTag.String()
	}
	return a, ""
}

func (s *session) mustExec(t *testing.T, sql string) string {
	t.Helper()
	a, value := s.exec(sql)
	require.Equal(t, done, a.outcome, "%s: %v", sql, a.err)
	return value
}

// token returns the session token that the instance last reported.
func (s *session) token() string {
	return s.conn.ParameterStatus("cyclamenpin.session_token")
}

func (s *session) closed() bool {
	return s.conn.IsClosed()
}

func (s *session) close() {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = s.conn.Close(ctx)
}

// insert is the statement of a write.
func insert(id, writer string) string {
	return fmt.Sprintf("INSERT INTO ops (id, writer) VALUES ('%s', '%s')", id, writer)
}

// count asks how many rows a writer has, until the question is answered or
// bound has passed.
func (s *session) count(writer string, bound time.Duration) (int, error) {
	deadline := time.Now().Add(bound)
	for {
		a, value := s.exec(fmt.Sprintf("SELECT count(*) FROM ops WHERE writer = '%s'", writer))
		if a.outcome == done {
			return strconv.Atoi(value)
		}
		if s.closed() || time.Now().After(deadline) {
			return 0, a.err
		}
		time.Sleep(max(a.retryAfter, pollInterval))
	}
}
