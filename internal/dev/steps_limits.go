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
	// smallPlan is the id and the user name of a plan that starts with a limit of
	// one connection.
	smallPlan     = "small"
	smallPassword = "small"
	// inForceBound is the time within which an accepted edit must be in force on
	// all instances.
	inForceBound = 18 * time.Second
	// requestDuration is how long the request takes that is in flight when its
	// instance is stopped.
	requestDuration = 500 * time.Millisecond
	// stopDelay is the time from the start of that request to the stop.
	stopDelay = 100 * time.Millisecond
)

// edit submits an edit through the first instance and waits until it is in force
// on all instances. It returns how long this took.
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
	raiseTime, err := t.edit(ctx, "selftest-raise", configuration.Change{PutLimits: []state.Limit{{
		Plan: smallPlan, MaxConnections: 2, Databases: []state.GroupID{GroupName},
	}}})
	if err != nil {
		return "", err
	}
	open, err := t.openTransactions(ctx, 2)
	if err != nil {
		return "", eris.Wrap(err, "use the raised limit")
	}
	closeAll(ctx, open)
	removeTime, err := t.edit(ctx, "selftest-remove", configuration.Change{
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
		raiseTime.Round(time.Millisecond), removeTime.Round(time.Millisecond)), nil
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

// openTransactions opens transactions of the small plan, each in its own
// session. It returns the open sessions even if it also returns an error.
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
	requestDone := make(chan error, 1)
	go func() {
		_, err := conn.Exec(ctx, fmt.Sprintf("SELECT pg_sleep(%f)", requestDuration.Seconds()))
		requestDone <- err
	}()
	time.Sleep(stopDelay)
	started := time.Now()
	if err := t.second().Stop(ctx); err != nil {
		return "", eris.Wrap(err, "stop the instance")
	}
	stopTime := time.Since(started)
	if err := <-requestDone; err != nil {
		return "", eris.Wrap(err, "the request in flight was cut off")
	}
	t.stack.Instances = t.stack.Instances[:1]
	return fmt.Sprintf("stopped in %s; the request in flight got its answer", stopTime.Round(time.Millisecond)), nil
}
