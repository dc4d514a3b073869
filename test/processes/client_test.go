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

// requestBound is the longest time that a request may take to get an outcome.
// It is the sum of the longest waits that an instance may impose (a change of
// primary, a queue) and a margin, so that a slow machine alone does not exceed
// it.
const requestBound = 40 * time.Second

// outcome is the result of a request as far as the client can tell.
type outcome string

const (
	done    outcome = "done"
	notRun  outcome = "not run"
	unknown outcome = "unknown"
)

const (
	codeAdminShutdown     = "57P01" // the session was ended while it was idle
	codeLeaving           = "57P03" // the instance takes no new sessions
	codeFailedTransaction = "25P02" // the transaction was lost and accepts only its end
	codeAlreadyRun        = "Y1001" // a request with this id has already run
)

// reply is the outcome of a request with the details of its error.
type reply struct {
	outcome    outcome
	code       string // SQLSTATE, empty without one
	retryAfter time.Duration
	err        error
}

// classify derives the outcome from an error as an application does, by SQLSTATE
// and detail. An error without an SQLSTATE means that the connection was lost;
// the request may have run.
func classify(err error) reply {
	if err == nil {
		return reply{outcome: done}
	}
	var pgErr *pgconn.PgError
	if !errors.As(err, &pgErr) {
		return reply{outcome: unknown, err: err}
	}
	r := reply{outcome: unknown, code: pgErr.Code, err: err}
	var detail struct {
		Outcome          string `json:"outcome"`
		RetryAfterMillis int64  `json:"retry_after_ms"`
	}
	_ = json.Unmarshal([]byte(pgErr.Detail), &detail)
	r.retryAfter = time.Duration(detail.RetryAfterMillis) * time.Millisecond
	switch {
	case detail.Outcome == "not_run", pgErr.Code == codeAdminShutdown, pgErr.Code == codeFailedTransaction, pgErr.Code == codeLeaving:
		r.outcome = notRun
	case pgErr.Code == codeAlreadyRun:
		r.outcome = done
	case detail.Outcome != "unknown":
		r.outcome = outcome("database error " + pgErr.Code)
	}
	return r
}

// describe returns the text of an error with its detail, which names the step
// and the peer where the request failed.
func describe(err error) string {
	var pgErr *pgconn.PgError
	if errors.As(err, &pgErr) {
		return pgErr.Error() + " " + pgErr.Detail
	}
	return fmt.Sprint(err)
}

// session is one client session. It is not safe for concurrent use.
type session struct {
	conn     *pgconn.PgConn
	instance *instance
}

// connect opens a session on an instance. Without a token, the session does not
// depend on earlier writes.
func connect(target *instance, token string) (*session, error) {
	ctx, cancel := context.WithTimeout(context.Background(), requestBound)
	defer cancel()
	url := fmt.Sprintf("postgres://%s:%s@%s/%s?sslmode=disable", userName, password, target.clients, groupName)
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
	return &session{conn: conn, instance: target}, nil
}

func mustConnect(t *testing.T, target *instance, token string) *session {
	t.Helper()
	s, err := connect(target, token)
	require.NoError(t, err)
	t.Cleanup(s.close)
	return s
}

// exec runs a statement by the simple protocol and returns its reply and the
// first value of its result, or the command tag if there are no rows.
func (s *session) exec(sql string) (reply, string) {
	ctx, cancel := context.WithTimeout(context.Background(), requestBound)
	defer cancel()
	results, err := s.conn.Exec(ctx, sql).ReadAll()
	r := classify(err)
	if r.outcome == done && err == nil && len(results) > 0 {
		last := results[len(results)-1]
		if len(last.Rows) > 0 {
			return r, string(last.Rows[0][0])
		}
		return r, last.CommandTag.String()
	}
	return r, ""
}

func (s *session) mustExec(t *testing.T, sql string) string {
	t.Helper()
	r, value := s.exec(sql)
	require.Equal(t, done, r.outcome, "%s: %s", sql, describe(r.err))
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

// insert returns the statement that inserts one row.
func insert(id, writer string) string {
	return fmt.Sprintf("INSERT INTO ops (id, writer) VALUES ('%s', '%s')", id, writer)
}

// count returns the number of a writer's rows. It retries until the query
// succeeds, the session ends or bound has passed.
func (s *session) count(writer string, bound time.Duration) (int, error) {
	deadline := time.Now().Add(bound)
	for {
		r, value := s.exec(fmt.Sprintf("SELECT count(*) FROM ops WHERE writer = '%s'", writer))
		if r.outcome == done {
			return strconv.Atoi(value)
		}
		if s.closed() || time.Now().After(deadline) {
			return 0, r.err
		}
		time.Sleep(max(r.retryAfter, pollInterval))
	}
}
