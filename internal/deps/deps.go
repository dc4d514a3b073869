// Package deps keeps modules in go.mod until the code that uses them lands.
package deps

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/VictoriaMetrics/metrics"
	_ "github.com/cenkalti/backoff/v5"
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/google/uuid"
	_ "github.com/jackc/pgx/v5"
	_ "github.com/jackc/pgx/v5/pgconn"
	_ "github.com/jackc/pgx/v5/pgproto3"
	_ "github.com/jackc/pgx/v5/pgxpool"
	_ "github.com/peterbourgon/ff/v3/ffcli"
	_ "github.com/rs/zerolog"
	_ "github.com/sony/gobreaker/v2"
	_ "github.com/vmihailenco/msgpack/v5"
	_ "github.com/xdg-go/scram"
	_ "go.uber.org/fx"
	_ "golang.org/x/sync/errgroup"
	_ "golang.org/x/sync/singleflight"
	_ "golang.org/x/time/rate"
	_ "modernc.org/sqlite"
)
