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
	// replicationReady is sent by the primary before the replica's hello.
	replicationReady = byte('R')
)

// replicationHello is the replica's only frame.
type replicationHello struct {
	Term state.Term `msgpack:"t"`
	Runs []termRun  `msgpack:"r"`
}

// replicationFrame is one frame of the primary. A frame with neither field is
// a heartbeat.
type replicationFrame struct {
	// Start is set on the first frame.
	Start *replicationStart `msgpack:"s"`
	Entry *Entry            `msgpack:"e"`
}

// replicationStart tells the replica the last offset that both logs share.
type replicationStart struct {
	Common uint64 `msgpack:"c"`
}

// serveReplication sends the primary's log to one replica until either side
// changes its term or the connection ends.
func (r *run) serveReplication(connection net.Conn) {
	if _, err := connection.Write([]byte{replicationReady}); err != nil {
		return
	}
	var hello replicationHello
	if err := msgpack.NewDecoder(connection).Decode(&hello); err != nil {
		return
	}
	common, leads := r.server.node.common(hello.Term, hello.Runs)
	if !leads {
		return
	}
	out := bufio.NewWriter(connection)
	encoder := msgpack.NewEncoder(out)
	if err := encoder.Encode(replicationFrame{Start: &replicationStart{Common: common}}); err != nil {
		return
	}
	r.sendEntries(hello.Term, common, encoder, out)
}

func (r *run) sendEntries(term state.Term, offset uint64, encoder *msgpack.Encoder, out *bufio.Writer) {
	heartbeat := time.NewTicker(heartbeatInterval)
	defer heartbeat.Stop()
	for {
		entries, changed, leads := r.server.node.pending(term, offset)
		if !leads || r.server.replicationCut.Load() {
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

// replicateForever follows whatever primary the node is told to follow.
func (r *run) replicateForever() {
	for r.ctx.Err() == nil {
		target := r.server.node.target()
		if target.following && !r.server.replicationCut.Load() {
			if err := r.followOnce(target); err != nil {
				r.server.logger.Debug().Err(err).Msg("replication stream ended")
			}
		}
		pause(r.ctx, replicationRetryDelay)
	}
}

// followOnce runs one replication stream from the primary.
func (r *run) followOnce(target followTarget) error {
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
	connection := newGuardedConn(raw, r.server.gate, r.ctx.Done())
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
		return nil, eris.Wrap(err, "replication: await primary")
	}
	hello := replicationHello{Term: target.term, Runs: target.runs}
	if err := msgpack.NewEncoder(connection).Encode(hello); err != nil {
		return nil, eris.Wrap(err, "replication: send hello")
	}
	decoder := msgpack.NewDecoder(reader)
	decoder.UseLooseInterfaceDecoding(true)
	return decoder, nil
}

// receiveFrames reads frames until the stream ends or the primary is silent.
func (r *run) receiveFrames(connection net.Conn, decoder *msgpack.Decoder, target followTarget, queue *applyQueue) error {
	for {
		connection.SetDeadline(time.Now().Add(replicationTimeout))
		var frame replicationFrame
		if err := decoder.Decode(&frame); err != nil {
			return eris.Wrap(err, "replication: receive")
		}
		if r.server.replicationCut.Load() {
			return eris.New("replication: cut")
		}
		r.server.node.heard(target.generation)
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

// applyQueued applies entries in order, each once the lag has passed since its
// arrival.
func (r *run) applyQueued(ctx context.Context, generation uint64, queue *applyQueue) {
	for {
		queued, ok := queue.first(ctx)
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
		queue.drop()
	}
}
