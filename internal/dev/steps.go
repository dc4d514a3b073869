package dev

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/rotisserie/eris"

	"github.com/cyclamenpin/cyclamenpin/internal/app"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

const (
	// testReplicationLag is the replication lag of one replica during the
	// read-your-writes step.
	testReplicationLag = 150 * time.Millisecond
	// rowsPerStep is how many rows the write and read-your-writes steps insert.
	rowsPerStep = 20
	// killRetryInterval is the pause between attempts to write after the kill.
	killRetryInterval = 20 * time.Millisecond
	// maxFailoverGap is the longest accepted time from the kill of the primary to
	// the next acknowledged write.
	maxFailoverGap = 15 * time.Second
)

// connect opens a client session on an instance.
func (t *selfTest) connect(ctx context.Context, instance *app.Instance) (*pgx.Conn, error) {
	conn, err := pgx.Connect(ctx, t.stack.URL(instance))
	return conn, eris.Wrapf(err, "connect to %s", instance.Self().ID)
}

func (t *selfTest) first() *app.Instance {
	return t.stack.Instances[0]
}

func (t *selfTest) second() *app.Instance {
	return t.stack.Instances[1]
}

// insert inserts the next row and records its id once the write is acknowledged.
func (t *selfTest) insert(ctx context.Context, conn *pgx.Conn) (int64, error) {
	id := int64(len(t.acknowledged) + 1)
	if _, err := conn.Exec(ctx, "INSERT INTO deliveries (id, note) VALUES ($1, $2)", id, "delivered"); err != nil {
		return 0, err
	}
	t.acknowledged = append(t.acknowledged, id)
	return id, nil
}

// readRow reads a row and counts the read, separately if a replica served it.
func (t *selfTest) readRow(ctx context.Context, conn *pgx.Conn, id int64) error {
	var note string
	if err := conn.QueryRow(ctx, "SELECT note FROM deliveries WHERE id = $1", id).Scan(&note); err != nil {
		return eris.Wrapf(err, "read row %d", id)
	}
	servedBy, err := show(ctx, conn, "cyclamenpin.served_by")
	if err != nil {
		return err
	}
	t.reads.total++
	if servedBy != string(t.primary()) {
		t.reads.byReplicas++
	}
	return nil
}

// primary returns the id of the primary of the highest term.
func (t *selfTest) primary() state.DatabaseID {
	return t.stack.Group.Describe().Primary
}

func show(ctx context.Context, conn *pgx.Conn, parameter string) (string, error) {
	var value string
	err := conn.QueryRow(ctx, "SHOW "+parameter, pgx.QueryExecModeSimpleProtocol).Scan(&value)
	return value, eris.Wrapf(err, "show %s", parameter)
}

func stepWrite(ctx context.Context, t *selfTest) (string, error) {
	conn, err := t.connect(ctx, t.first())
	if err != nil {
		return "", err
	}
	defer func() { _ = conn.Close(ctx) }()
	if _, err := conn.Exec(ctx, "CREATE TABLE deliveries (id bigint PRIMARY KEY, note text)"); err != nil {
		return "", eris.Wrap(err, "create table")
	}
	for range rowsPerStep {
		if _, err := t.insert(ctx, conn); err != nil {
			return "", eris.Wrap(err, "insert")
		}
	}
	return fmt.Sprintf("%d rows acknowledged by a majority of 3 databases", rowsPerStep), nil
}

func stepReadYourWrites(ctx context.Context, t *selfTest) (string, error) {
	conn, err := t.connect(ctx, t.first())
	if err != nil {
		return "", err
	}
	defer func() { _ = conn.Close(ctx) }()
	servers := t.stack.Group.Servers()
	servers[2].SetReplicationLag(testReplicationLag)
	defer servers[2].SetReplicationLag(replicationLag)
	before := t.reads
	for range rowsPerStep {
		id, err := t.insert(ctx, conn)
		if err != nil {
			return "", eris.Wrap(err, "insert")
		}
		if err := t.readRow(ctx, conn, id); err != nil {
			return "", err
		}
	}
	return fmt.Sprintf("%d of %d reads right after a write were served by replicas, one of which lags by %s",
		t.reads.byReplicas-before.byReplicas, rowsPerStep, testReplicationLag), nil
}

func stepSessionMoves(ctx context.Context, t *selfTest) (string, error) {
	writer, err := t.connect(ctx, t.first())
	if err != nil {
		return "", err
	}
	defer func() { _ = writer.Close(ctx) }()
	id, err := t.insert(ctx, writer)
	if err != nil {
		return "", eris.Wrap(err, "insert")
	}
	token := writer.PgConn().ParameterStatus("cyclamenpin.session_token")
	reader, err := t.connect(ctx, t.second())
	if err != nil {
		return "", err
	}
	defer func() { _ = reader.Close(ctx) }()
	if _, err := reader.Exec(ctx, "SET cyclamenpin.session_token = '"+token+"'"); err != nil {
		return "", eris.Wrap(err, "bring the token along")
	}
	if err := t.readRow(ctx, reader, id); err != nil {
		return "", err
	}
	withoutToken, err := t.connect(ctx, t.second())
	if err != nil {
		return "", err
	}
	defer func() { _ = withoutToken.Close(ctx) }()
	if err := t.readRow(ctx, withoutToken, id); err != nil {
		return "", err
	}
	return fmt.Sprintf("token %s read its write on the other instance; so did a session without one", token), nil
}

func stepAtMostOnce(ctx context.Context, t *selfTest) (string, error) {
	tags := make([]string, 0, len(t.stack.Instances))
	for _, instance := range t.stack.Instances {
		conn, err := t.connect(ctx, instance)
		if err != nil {
			return "", err
		}
		tag, err := conn.Exec(ctx, "/* cyclamenpin:request_id=order-1 */ UPDATE deliveries SET note = note || '!' WHERE id = 1")
		_ = conn.Close(ctx)
		if err != nil {
			return "", eris.Wrap(err, "send the request")
		}
		tags = append(tags, tag.String())
	}
	conn, err := t.connect(ctx, t.first())
	if err != nil {
		return "", err
	}
	defer func() { _ = conn.Close(ctx) }()
	var note string
	if err := conn.QueryRow(ctx, "SELECT note FROM deliveries WHERE id = 1").Scan(&note); err != nil {
		return "", eris.Wrap(err, "read the row")
	}
	if note != "delivered!" {
		return "", eris.Errorf("the request ran more than once or not at all: %q", note)
	}
	return fmt.Sprintf("sent through both instances, ran once, answered %v", tags), nil
}

func stepPrimaryKilled(ctx context.Context, t *selfTest) (string, error) {
	conn, err := t.connect(ctx, t.first())
	if err != nil {
		return "", err
	}
	defer func() { _ = conn.Close(ctx) }()
	killed := t.primary()
	t.stack.Group.Server(killed).Kill()
	started := time.Now()
	refused, err := t.writeUntilAcknowledged(ctx, conn)
	if err != nil {
		return "", err
	}
	t.failoverGap = time.Since(started)
	if t.failoverGap > maxFailoverGap {
		return "", eris.Errorf("the gap of %s is over %s", t.failoverGap, maxFailoverGap)
	}
	for _, id := range t.acknowledged {
		if err := t.readRow(ctx, conn, id); err != nil {
			return "", err
		}
	}
	if err := t.stack.Group.Server(killed).Restart(); err != nil {
		return "", eris.Wrap(err, "restart the old primary")
	}
	return fmt.Sprintf("%s replaced by %s; %d attempts refused; all %d acknowledged rows are there",
		killed, t.primary(), refused, len(t.acknowledged)), nil
}

// writeUntilAcknowledged inserts a row and retries while the error says that
// the attempt did not run. It returns the number of refused attempts.
func (t *selfTest) writeUntilAcknowledged(ctx context.Context, conn *pgx.Conn) (int, error) {
	for refused := 0; ; refused++ {
		_, err := t.insert(ctx, conn)
		var pgErr *pgconn.PgError
		switch {
		case err == nil:
			return refused, nil
		case !errors.As(err, &pgErr):
			return refused, eris.Wrap(err, "write after the kill")
		case pgErr.Code == "08007":
			// The row may exist, so its id must not be used again.
			t.acknowledged = append(t.acknowledged, int64(len(t.acknowledged)+1))
			return refused, eris.New("an attempt after the kill has an unknown outcome")
		case ctx.Err() != nil:
			return refused, ctx.Err()
		}
		time.Sleep(killRetryInterval)
	}
}
