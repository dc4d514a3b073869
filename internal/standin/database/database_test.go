package database

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"golang.org/x/sync/errgroup"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

const testTimeout = 10 * time.Second

func testContext(t testing.TB) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	return ctx
}

func startOne(t testing.TB, options Options) *Server {
	options.ID = "d1"
	options.Primary = true
	server, err := Start(context.Background(), options)
	require.NoError(t, err)
	t.Cleanup(server.Close)
	return server
}

func connect(t testing.TB, server *Server) *pgx.Conn {
	connection, err := pgx.Connect(testContext(t), "postgres://app@"+server.Addr()+"/app?sslmode=prefer")
	require.NoError(t, err)
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		connection.Close(ctx)
	})
	return connection
}

func requireCode(t testing.TB, err error, code string) {
	var failure *pgconn.PgError
	require.ErrorAs(t, err, &failure)
	require.Equal(t, code, failure.Code)
}

func execAll(t testing.TB, connection *pgx.Conn, statements ...string) {
	for _, statement := range statements {
		_, err := connection.Exec(testContext(t), statement)
		require.NoError(t, err, statement)
	}
}

func TestExtendedProtocolTypes(t *testing.T) {
	ctx := testContext(t)
	connection := connect(t, startOne(t, Options{}))
	execAll(t, connection, "create table t (id bigint primary key, name text, open boolean, at timestamptz, ratio float8)")
	at := time.Date(2026, 12, 3, 10, 0, 0, 0, time.UTC)
	for _, mode := range []pgx.QueryExecMode{pgx.QueryExecModeCacheStatement, pgx.QueryExecModeExec, pgx.QueryExecModeSimpleProtocol} {
		tag, err := connection.Exec(ctx, "insert into t values ($1, $2, $3, $4, $5)", mode, int64(mode)+300, "007", true, at, 0.5)
		require.NoError(t, err)
		require.Equal(t, "INSERT 0 1", tag.String())
		var id int64
		var name string
		var open bool
		var gotAt time.Time
		var ratio float64
		row := connection.QueryRow(ctx, "select id, name, open, at, ratio from t where id = $1", mode, int64(mode)+300)
		require.NoError(t, row.Scan(&id, &name, &open, &gotAt, &ratio))
		require.Equal(t, int64(mode)+300, id)
		require.Equal(t, "007", name)
		require.True(t, open)
		require.True(t, at.Equal(gotAt))
		require.InDelta(t, 0.5, ratio, 0)
	}
	var count int64
	require.NoError(t, connection.QueryRow(ctx, "select count(*) from t where id > $1", 0).Scan(&count))
	require.Equal(t, int64(3), count)
	var returned int64
	require.NoError(t, connection.QueryRow(ctx, "insert into t (id) values ($1) returning id", 9).Scan(&returned))
	require.Equal(t, int64(9), returned)
	_, err := connection.Exec(ctx, "insert into t (id) values ($1)", 9)
	requireCode(t, err, codeUniqueViolation)

	direct := connection.PgConn()
	_, err = direct.Prepare(ctx, "Named", "select id from t", nil)
	require.NoError(t, err)
	_, err = direct.Prepare(ctx, "Named", "select id from t", nil)
	requireCode(t, err, codeDuplicateStatement)
	execAll(t, connection, `deallocate prepare "Named"`)
	_, err = connection.Exec(ctx, "deallocate named", pgx.QueryExecModeSimpleProtocol)
	requireCode(t, err, codeNoSuchStatement)
}

func TestTransactions(t *testing.T) {
	ctx := testContext(t)
	server := startOne(t, Options{})
	connection, other := connect(t, server), connect(t, server)
	execAll(t, connection, "create table t (id bigint primary key)", "begin", "insert into t values (1)")
	var count int64
	require.NoError(t, other.QueryRow(ctx, "select count(*) from t").Scan(&count))
	require.Zero(t, count, "uncommitted rows must be invisible to others")
	_, err := connection.Exec(ctx, "insert into t values (1)")
	requireCode(t, err, codeUniqueViolation)
	require.Equal(t, txFailed, connection.PgConn().TxStatus())
	_, err = connection.Exec(ctx, "select 1")
	requireCode(t, err, codeFailedTransaction)
	tag, err := connection.Exec(ctx, "commit")
	require.NoError(t, err)
	require.Equal(t, "ROLLBACK", tag.String())

	execAll(t, connection, "begin", "insert into t values (2)", "savepoint a", "insert into t values (3)")
	_, err = connection.Exec(ctx, "insert into t values (2)")
	require.Error(t, err)
	execAll(t, connection, "rollback to savepoint a", "insert into t values (4)", "commit")
	rows, err := other.Query(ctx, "select id from t order by id")
	require.NoError(t, err)
	ids, err := pgx.CollectRows(rows, pgx.RowTo[int64])
	require.NoError(t, err)
	require.Equal(t, []int64{2, 4}, ids)
	require.Equal(t, "1/3", connection.PgConn().ParameterStatus(logPositionParameter))

	_, err = connection.Exec(ctx, "insert into t values (5); insert into t values (5)")
	requireCode(t, err, codeUniqueViolation)
	require.Equal(t, uint64(3), server.Status().Log.Offset, "a failed multi-statement query must leave no entry")
	execAll(t, connection, "insert into t values (6); insert into t values (7)")
	require.Equal(t, uint64(4), server.Status().Log.Offset, "a multi-statement query must be one entry")
}

func TestSettings(t *testing.T) {
	ctx := testContext(t)
	connection := connect(t, startOne(t, Options{}))
	show := func() (value string) {
		require.NoError(t, connection.QueryRow(ctx, "show app.zone").Scan(&value))
		return value
	}
	execAll(t, connection, "set app.zone = 'a;b'")
	require.Equal(t, "a;b", show())
	execAll(t, connection, "begin", "set local app.zone to 'c'")
	require.Equal(t, "c", show())
	execAll(t, connection, "commit")
	require.Equal(t, "a;b", show())
	execAll(t, connection, "begin", "set app.zone = 'd'", "rollback")
	require.Equal(t, "a;b", show())
	execAll(t, connection, "discard all")
	_, err := connection.Exec(ctx, "show app.zone", pgx.QueryExecModeSimpleProtocol)
	requireCode(t, err, codeUndefinedObject)
}

func TestControlNeedsNoSlotAndConnectionsAreBounded(t *testing.T) {
	ctx := testContext(t)
	server := startOne(t, Options{Slots: 1, MaxConnections: 3})
	busy, waiting, control := connect(t, server), connect(t, server), connect(t, server)
	_, err := pgx.Connect(ctx, "postgres://app@"+server.Addr()+"/app?sslmode=disable")
	requireCode(t, err, codeTooManyConnections)
	sleeping := make(chan error, 1)
	go func() {
		_, err := busy.Exec(ctx, "select pg_sleep(60)", pgx.QueryExecModeSimpleProtocol)
		sleeping <- err
	}()
	require.Eventually(t, func() bool {
		server.mu.Lock()
		defer server.mu.Unlock()
		return len(server.current.slots) == 1
	}, testTimeout, time.Millisecond)
	short, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
	defer cancel()
	_, err = waiting.Exec(short, "select 1")
	require.Error(t, err, "the only slot is taken")
	var role string
	row := control.QueryRow(ctx, "SELECT * FROM group_status()", pgx.QueryExecModeSimpleProtocol)
	require.NoError(t, row.Scan(nil, nil, &role, nil, nil, nil))
	require.Equal(t, "primary", role)
	require.NoError(t, busy.PgConn().CancelRequest(ctx))
	requireCode(t, <-sleeping, codeQueryCanceled)
}

func TestFenceStopsTheOpenWriteTransaction(t *testing.T) {
	ctx := testContext(t)
	server := startOne(t, Options{})
	connection := connect(t, server)
	execAll(t, connection, "create table t (id bigint)", "begin", "insert into t values (1)")
	before := server.Status().Log
	_, err := server.Fence(2, "p")
	require.NoError(t, err)
	_, err = connection.Exec(ctx, "commit")
	requireCode(t, err, codeReadOnlyTransaction)
	_, err = connection.Exec(ctx, "insert into t values (2)", pgx.QueryExecModeSimpleProtocol)
	requireCode(t, err, codeReadOnlyTransaction)
	require.Equal(t, before, server.Status().Log)
	_, err = server.Promote(2, "p")
	require.NoError(t, err)
	execAll(t, connection, "insert into t values (3)")
	require.Equal(t, state.Position{Term: 2, Offset: before.Offset + 2}, server.Status().Log)
}

func caughtUp(servers ...*Server) func() bool {
	return func() bool {
		for _, server := range servers[1:] {
			if server.Status().Log != servers[0].Status().Log {
				return false
			}
		}
		return true
	}
}

func dump(t testing.TB, server *Server) [][]any {
	res, err := server.node.reader.query("select * from t order by id")
	require.NoError(t, err)
	return res.rows
}

func TestReplicationAndForkTruncation(t *testing.T) {
	group, err := StartGroup(context.Background(), GroupOptions{ID: "g"})
	require.NoError(t, err)
	t.Cleanup(group.Close)
	old, next, third := group.Servers()[0], group.Servers()[1], group.Servers()[2]
	connection := connect(t, old)
	execAll(t, connection, "create table t (id bigint primary key, name text)")
	_, err = connection.Exec(testContext(t), "insert into t values ($1, $2)", 1, "shared")
	require.NoError(t, err)
	require.Eventually(t, caughtUp(old, next, third), testTimeout, time.Millisecond)
	_, err = connect(t, next).Exec(testContext(t), "insert into t values (9, 'x')")
	requireCode(t, err, codeReadOnlyTransaction)

	old.SetReplicationPartition(true)
	execAll(t, connection, "insert into t values (2, 'lost')", "insert into t values (3, 'lost')")
	for _, server := range []*Server{next, third} {
		_, err := server.Fence(2, "p")
		require.NoError(t, err)
	}
	_, err = next.Promote(2, "p")
	require.NoError(t, err)
	execAll(t, connect(t, next), "insert into t values (4, 'kept')")
	for _, server := range []*Server{old, third} {
		_, err := server.Follow(2, "g-2", next.Addr())
		require.NoError(t, err)
	}
	old.SetReplicationPartition(false)
	require.Eventually(t, caughtUp(next, old, third), testTimeout, time.Millisecond)
	require.Equal(t, [][]any{{int64(1), "shared"}, {int64(4), "kept"}}, dump(t, old))
	require.Equal(t, dump(t, next), dump(t, old))
	require.Equal(t, next.Entries(), old.Entries())
}

func TestKillKeepsLogTermAndRole(t *testing.T) {
	group, err := StartGroup(context.Background(), GroupOptions{ID: "g"})
	require.NoError(t, err)
	t.Cleanup(group.Close)
	primary, replica := group.Servers()[0], group.Servers()[1]
	connection := connect(t, primary)
	execAll(t, connection, "create table t (id bigint)", "insert into t values (1)", "begin", "insert into t values (2)")
	before := primary.Status()
	primary.Kill()
	require.Error(t, connection.Ping(testContext(t)))
	_, err = pgx.Connect(testContext(t), "postgres://app@"+primary.Addr()+"/app?sslmode=disable")
	require.Error(t, err)
	require.NoError(t, primary.Restart())
	require.Equal(t, before, primary.Status())
	execAll(t, connect(t, primary), "insert into t values (3)")
	require.Eventually(t, caughtUp(primary, replica), testTimeout, time.Millisecond)
	require.Equal(t, [][]any{{int64(1)}, {int64(3)}}, dump(t, replica))
}

func TestTerminatedConnectionFreesItsLocks(t *testing.T) {
	server := startOne(t, Options{})
	holder, other := connect(t, server), connect(t, server)
	execAll(t, other, "create table t (id bigint primary key)")
	execAll(t, holder, "begin", "insert into t values (1)")
	server.SilenceOpenConnections()
	fresh := connect(t, server)
	var ended string
	statement := fmt.Sprintf("select pg_terminate_backend(%d)", holder.PgConn().PID())
	require.NoError(t, fresh.QueryRow(testContext(t), statement, pgx.QueryExecModeSimpleProtocol).Scan(&ended))
	require.Equal(t, "t", ended)
	execAll(t, fresh, "insert into t values (1)")
}

func TestFrozenAndSilenced(t *testing.T) {
	ctx := testContext(t)
	group, err := StartGroup(context.Background(), GroupOptions{ID: "g"})
	require.NoError(t, err)
	t.Cleanup(group.Close)
	primary, replica := group.Servers()[0], group.Servers()[1]
	require.Eventually(t, caughtUp(primary, replica), testTimeout, time.Millisecond)
	connection := connect(t, primary)
	execAll(t, connection, "create table t (id bigint)")

	primary.SetFrozen(true)
	require.Eventually(t, func() bool {
		return replica.Status().PrimaryContactAge > 3*heartbeatInterval
	}, testTimeout, time.Millisecond)
	executed := make(chan error, 1)
	go func() {
		_, err := connection.Exec(ctx, "insert into t values (1)", pgx.QueryExecModeSimpleProtocol)
		executed <- err
	}()
	select {
	case <-executed:
		t.Fatal("a frozen database executed a statement")
	case <-time.After(100 * time.Millisecond):
	}
	require.Equal(t, uint64(2), primary.Status().Log.Offset, "a statement must not commit while the database is frozen")
	primary.SetFrozen(false)
	require.NoError(t, <-executed)

	silent := connect(t, primary)
	primary.SilenceOpenConnections()
	short, cancel := context.WithTimeout(ctx, 100*time.Millisecond)
	defer cancel()
	_, err = silent.Exec(short, "select 1")
	require.True(t, pgconn.Timeout(err), "want a timeout, not a closed connection: %v", err)
	execAll(t, connect(t, primary), "insert into t values (2)")
	require.Eventually(t, caughtUp(primary, replica), testTimeout, time.Millisecond)
}

// Guards against partly visible transactions: readers on the primary and on a
// replica see both rows of a transaction or neither.
func TestTransactionsAreVisibleAsAWhole(t *testing.T) {
	const transactions = 200
	group, err := StartGroup(context.Background(), GroupOptions{ID: "g"})
	require.NoError(t, err)
	t.Cleanup(group.Close)
	ctx := testContext(t)
	writer := connect(t, group.Servers()[0])
	execAll(t, writer, "create table t (id bigint)")
	require.Eventually(t, caughtUp(group.Servers()...), testTimeout, time.Millisecond)
	var reading errgroup.Group
	for _, server := range group.Servers()[:2] {
		reader := connect(t, server)
		reading.Go(func() error {
			for count := int64(0); count < 2*transactions; {
				if err := reader.QueryRow(ctx, "select count(*) from t").Scan(&count); err != nil {
					return err
				}
				if count%2 != 0 {
					return errors.New("only one row of a two-row transaction is visible")
				}
			}
			return nil
		})
	}
	for range transactions {
		execAll(t, writer, "insert into t values (1); insert into t values (2)")
	}
	require.NoError(t, reading.Wait())
}

func TestReadOnlyAndDeterministicWrites(t *testing.T) {
	ctx := testContext(t)
	group, err := StartGroup(context.Background(), GroupOptions{ID: "g"})
	require.NoError(t, err)
	t.Cleanup(group.Close)
	primary, replica := group.Servers()[0], group.Servers()[1]
	connection, reading := connect(t, primary), connect(t, replica)
	execAll(t, connection, "create table t (id bigint, at timestamptz)", "insert into t values (1, now())")
	require.Eventually(t, caughtUp(primary, replica), testTimeout, time.Millisecond)
	require.Equal(t, dump(t, primary), dump(t, replica))
	_, err = connection.Exec(ctx, "insert into t values (random(), null)")
	requireCode(t, err, codeFeatureNotSupported)
	execAll(t, connection, "begin read only")
	_, err = connection.Exec(ctx, "insert into t values (2, null)", pgx.QueryExecModeSimpleProtocol)
	requireCode(t, err, codeReadOnlyTransaction)
	execAll(t, connection, "rollback")
	execAll(t, reading, "begin", "savepoint a", "rollback to savepoint a", "select * from t", "commit")
	_, err = reading.Exec(ctx, "pragma user_version = 3; vacuum", pgx.QueryExecModeSimpleProtocol)
	require.Error(t, err, "a statement not classified as a write must not change a replica")
	require.Equal(t, primary.Entries(), replica.Entries())
}

// Guards against a client that stops responding in an open write transaction and
// thereby blocks all other writers: the idle timeout ends its transaction.
func TestIdleWriteTransactionEnds(t *testing.T) {
	server := startOne(t, Options{IdleInTransactionTimeout: 50 * time.Millisecond})
	connection := connect(t, server)
	execAll(t, connection, "create table t (id bigint)", "begin", "insert into t values (1)")
	server.SilenceOpenConnections()
	execAll(t, connect(t, server), "insert into t values (2)")
	require.Equal(t, [][]any{{int64(2)}}, dump(t, server))
}

func TestSwitchHandler(t *testing.T) {
	server := startOne(t, Options{})
	handler := server.SwitchHandler()
	for target, want := range map[string]int{
		"/freeze?on=true": http.StatusNoContent, "/freeze?on=false": http.StatusNoContent,
		"/freeze": http.StatusBadRequest, "/lag?for=-1s": http.StatusBadRequest,
		"/lag?for=30ms": http.StatusNoContent,
	} {
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, target, nil))
		require.Equal(t, want, recorder.Code, target)
	}
	require.Equal(t, 30*time.Millisecond, server.replicationLag())
}
