package database

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

const (
	heartbeatInterval     = 100 * time.Millisecond
	replicationRetryDelay = 20 * time.Millisecond
	replicationTimeout    = 2 * time.Second
	lagPollInterval       = 5 * time.Millisecond

	replicationParameter = "replication"
	replicationProtocol  = "cyclamenpin"
	// replicationReady is the byte that the primary sends before the replica
	// sends its hello.
	replicationReady = byte('R')
)

// replicationHello is the only frame that a replica sends: its term and a summary
// of its log.
type replicationHello struct {
	Term state.Term `msgpack:"t"`
	Runs []termRun  `msgpack:"r"`
}

// replicationFrame is one frame from the primary. A frame with neither field set
// is a heartbeat.
type replicationFrame struct {
	// Start is set on the first frame.
	Start *replicationStart `msgpack:"s"`
	Entry *Entry            `msgpack:"e"`
}

// replicationStart holds the last offset at which both logs hold the same entry.
// The replica removes its entries after that offset.
type replicationStart struct {
	Common uint64 `msgpack:"c"`
}

// serveReplication sends the log to one replica until this database is no longer
// the primary of the replica's term, replication is partitioned or the connection
// ends. A replica that changes its term closes the connection.
func (r *serverRun) serveReplication(connection net.Conn) {
	if _, err := connection.Write([]byte{replicationReady}); err != nil {
		return
	}
	var hello replicationHello
	if err := msgpack.NewDecoder(connection).Decode(&hello); err != nil {
		return
	}
	common, isPrimary := r.server.node.sharedOffset(hello.Term, hello.Runs)
	if !isPrimary {
		return
	}
	out := bufio.NewWriter(connection)
	encoder := msgpack.NewEncoder(out)
	if err := encoder.Encode(replicationFrame{Start: &replicationStart{Common: common}}); err != nil {
		return
	}
	r.sendEntries(hello.Term, common, encoder, out)
}

func (r *serverRun) sendEntries(term state.Term, offset uint64, encoder *msgpack.Encoder, out *bufio.Writer) {
	heartbeat := time.NewTicker(heartbeatInterval)
	defer heartbeat.Stop()
	for {
		entries, changed, isPrimary := r.server.node.entriesAfter(term, offset)
		if !isPrimary || r.server.replicationPartitioned.Load() {
			return
		}
		for i := range entries {
			if err := encoder.Encode(replicationFrame{Entry: &entries[i]}); err != nil {
				return
			}
			offset = entries[i].Position.Offset
		}
		if err := out.Flush(); err != nil {
			return
		}
		if len(entries) > 0 {
			continue
		}
		select {
		case <-changed:
		case <-heartbeat.C:
			if err := encoder.Encode(replicationFrame{}); err != nil {
				return
			}
		case <-r.ctx.Done():
			return
		}
	}
}

// replicationLoop replicates from the primary that the node currently follows,
// and retries until the server is killed.
func (r *serverRun) replicationLoop() {
	for r.ctx.Err() == nil {
		target := r.server.node.target()
		if target.following && !r.server.replicationPartitioned.Load() {
			if err := r.runReplicationStream(target); err != nil {
				r.server.logger.Debug().Err(err).Msg("replication stream ended")
			}
		}
		pause(r.ctx, replicationRetryDelay)
	}
}

// runReplicationStream receives and applies entries from the primary until the
// stream ends or the node stops following in the target's generation.
func (r *serverRun) runReplicationStream(target followTarget) error {
	ctx, cancel := context.WithCancel(r.ctx)
	defer cancel()
	dialer := net.Dialer{Timeout: replicationTimeout}
	raw, err := dialer.DialContext(ctx, "tcp", target.primary)
	if err != nil {
		return eris.Wrapf(err, "replication: dial %s", target.primary)
	}
	stop := context.AfterFunc(ctx, func() { raw.Close() })
	defer stop()
	defer raw.Close()
	go func() {
		select {
		case <-target.ended:
			cancel()
		case <-ctx.Done():
		}
	}()
	connection := newFaultConn(raw, r.server.gate, r.ctx.Done())
	decoder, err := startReplication(connection, target)
	if err != nil {
		return err
	}
	queue := newApplyQueue()
	var applying sync.WaitGroup
	applying.Go(func() {
		defer cancel()
		r.applyQueued(ctx, target.generation, queue)
	})
	err = r.receiveFrames(connection, decoder, target, queue)
	cancel()
	applying.Wait()
	return err
}

func startReplication(connection net.Conn, target followTarget) (*msgpack.Decoder, error) {
	connection.SetDeadline(time.Now().Add(replicationTimeout))
	startup := &pgproto3.StartupMessage{
		ProtocolVersion: pgproto3.ProtocolVersion30,
		Parameters:      map[string]string{replicationParameter: replicationProtocol},
	}
	encoded, err := startup.Encode(nil)
	if err != nil {
		return nil, eris.Wrap(err, "replication: encode startup")
	}
	if _, err := connection.Write(encoded); err != nil {
		return nil, eris.Wrap(err, "replication: send startup")
	}
	reader := bufio.NewReader(connection)
	if _, err := reader.ReadByte(); err != nil {
		return nil, eris.Wrap(err, "replication: wait for primary")
	}
	hello := replicationHello{Term: target.term, Runs: target.runs}
	if err := msgpack.NewEncoder(connection).Encode(hello); err != nil {
		return nil, eris.Wrap(err, "replication: send hello")
	}
	decoder := msgpack.NewDecoder(reader)
	decoder.UseLooseInterfaceDecoding(true)
	return decoder, nil
}

// receiveFrames reads frames until the stream ends, no frame arrives within
// replicationTimeout, replication is partitioned or the node stops following.
func (r *serverRun) receiveFrames(connection net.Conn, decoder *msgpack.Decoder, target followTarget, queue *applyQueue) error {
	for {
		connection.SetDeadline(time.Now().Add(replicationTimeout))
		var frame replicationFrame
		if err := decoder.Decode(&frame); err != nil {
			return eris.Wrap(err, "replication: receive")
		}
		if r.server.replicationPartitioned.Load() {
			return eris.New("replication: partitioned from the group")
		}
		r.server.node.recordPrimaryContact(target.generation)
		switch {
		case frame.Start != nil:
			following, err := r.server.node.truncate(target.generation, frame.Start.Common)
			if err != nil || !following {
				return err
			}
		case frame.Entry != nil:
			queue.push(*frame.Entry)
		}
	}
}

// applyQueued applies entries in order, each after the replication lag has passed
// since its arrival.
func (r *serverRun) applyQueued(ctx context.Context, generation uint64, queue *applyQueue) {
	for {
		queued, ok := queue.peek(ctx)
		if !ok {
			return
		}
		for time.Since(queued.arrived) < r.server.replicationLag() {
			remaining := r.server.replicationLag() - time.Since(queued.arrived)
			if !pause(ctx, min(remaining, lagPollInterval)) {
				return
			}
		}
		if !r.server.gate.wait(ctx.Done()) {
			return
		}
		following, err := r.server.node.replicate(generation, queued.entry)
		if err != nil {
			r.server.logger.Error().Err(err).Msg("replication: apply entry")
		}
		if err != nil || !following {
			return
		}
		queue.removeFirst()
	}
}
