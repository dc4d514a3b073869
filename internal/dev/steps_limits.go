package dev

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/rotisserie/eris"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/configuration"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

const (
	// smallPlan may hold one connection.
	smallPlan     = "small"
	smallPassword = "small"
	// inForceBound is how soon an accepted edit must be in force everywhere.
	inForceBound = 18 * time.Second
	// requestInFlight is how long the request runs during which an instance
	// is stopped.
	requestInFlight = 500 * time.Millisecond
	// stopAfter is how long it has run by then.
	stopAfter = 100 * time.Millisecond
)

// edit makes an edit through an instance and waits until it is in force on
// all.
func (t *selfTest) edit(ctx context.Context, id string, change configuration.Change) (time.Duration, error) {
	started := time.Now()
	accepted, err := t.first().Edit(ctx, configuration.Edit{ID: id, Base: t.first().Revision(), Change: change})
	if err != nil {
		return 0, eris.Wrap(err, "edit")
	}
	for _, instance := range t.stack.Instances {
		for instance.Revision() < accepted.Revision {
			if time.Since(started) > inForceBound {
				return 0, eris.Errorf("revision %d is not in force on %s", accepted.Revision, instance.Self().ID)
			}
			time.Sleep(readyInterval)
		}
	}
	return time.Since(started), nil
}

func stepEdits(ctx context.Context, t *selfTest) (string, error) {
	took, err := t.edit(ctx, "selftest-raise", configuration.Change{PutLimits: []state.Limit{{
		Plan: smallPlan, MaxConnections: 2, Databases: []state.GroupID{GroupName},
	}}})
	if err != nil {
		return "", err
	}
	second, err := t.openTransactions(ctx, 2)
	if err != nil {
		return "", eris.Wrap(err, "use the raised limit")
	}
	closeAll(ctx, second)
	removed, err := t.edit(ctx, "selftest-remove", configuration.Change{
		RemovePlans: []state.PlanID{smallPlan}, RemoveLimits: []state.PlanID{smallPlan},
	})
	if err != nil {
		return "", err
	}
	if conn, err := t.connectSmall(ctx); err == nil {
		_ = conn.Close(ctx)
		return "", eris.New("a removed plan could still connect")
	}
	return fmt.Sprintf("a raised limit was in force on both instances after %s, a removed plan after %s",
		took.Round(time.Millisecond), removed.Round(time.Millisecond)), nil
}

func stepLimitReached(ctx context.Context, t *selfTest) (string, error) {
	verifier, err := configuration.NewVerifier(smallPassword, "selftest-small", smallPlan)
	if err != nil {
		return "", eris.Wrap(err, "make verifier")
	}
	_, err = t.edit(ctx, "selftest-small", configuration.Change{
		PutPlans: []state.Plan{{ID: smallPlan, User: smallPlan, PasswordVerifier: verifier}},
		PutLimits: []state.Limit{{
			Plan: smallPlan, MaxConnections: 1, Databases: []state.GroupID{GroupName},
		}},
	})
	if err != nil {
		return "", err
	}
	started := time.Now()
	open, err := t.openTransactions(ctx, 2)
	closeAll(ctx, open)
	var pgErr *pgconn.PgError
	if !errors.As(err, &pgErr) {
		return "", eris.Errorf("the second transaction of a plan with one connection was not refused: %v", err)
	}
	return fmt.Sprintf("the second transaction was refused after %s with SQLSTATE %s and %s",
		time.Since(started).Round(time.Millisecond), pgErr.Code, pgErr.Detail), nil
}

func (t *selfTest) connectSmall(ctx context.Context) (*pgx.Conn, error) {
	url := fmt.Sprintf("postgres://%s:%s@%s/%s", smallPlan, smallPassword, t.first().ClientAddr(), GroupName)
	return pgx.Connect(ctx, url)
}

// openTransactions opens transactions of the small plan, each on a session of
// its own. It returns the sessions that it opened, also with an error.
func (t *selfTest) openTransactions(ctx context.Context, count int) ([]*pgx.Conn, error) {
	var open []*pgx.Conn
	for range count {
		conn, err := t.connectSmall(ctx)
		if err != nil {
			return open, err
		}
		open = append(open, conn)
		if _, err := conn.Exec(ctx, "BEGIN"); err != nil {
			return open, err
		}
	}
	return open, nil
}

func closeAll(ctx context.Context, conns []*pgx.Conn) {
	for _, conn := range conns {
		_ = conn.Close(ctx)
	}
}

func stepGracefulStop(ctx context.Context, t *selfTest) (string, error) {
	conn, err := t.connect(ctx, t.second())
	if err != nil {
		return "", err
	}
	defer func() { _ = conn.Close(ctx) }()
	answered := make(chan error, 1)
	go func() {
		_, err := conn.Exec(ctx, fmt.Sprintf("SELECT pg_sleep(%f)", requestInFlight.Seconds()))
		answered <- err
	}()
	time.Sleep(stopAfter)
	started := time.Now()
	if err := t.second().Stop(ctx); err != nil {
		return "", eris.Wrap(err, "stop the instance")
	}
	stopped := time.Since(started)
	if err := <-answered; err != nil {
		return "", eris.Wrap(err, "the request in flight was cut off")
	}
	t.stack.Instances = t.stack.Instances[:1]
	return fmt.Sprintf("stopped in %s; the request in flight got its answer", stopped.Round(time.Millisecond)), nil
}
