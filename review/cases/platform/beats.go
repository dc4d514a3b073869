package main

import (
	"sync"
	"time"

	standin "github.com/cyclamenpin/cyclamenpin/internal/standin/platform/council"
)

// beats writes the databases' entries to the store on their behalf. An entry changes when
// more than its count does, and is removed after three heartbeat intervals of silence.
type beats struct {
	cluster *cluster

	mu   sync.Mutex
	last map[string]beat
}

type beat struct {
	entry string
	at    time.Time
}

// beatsInterval is how often the databases are looked at: a changed role or state is
// reported at once, all else each heartbeat interval.
const beatsInterval = 20 * time.Millisecond

func (b *beats) run() {
	ticker := time.NewTicker(beatsInterval)
	defer ticker.Stop()
	for {
		for _, s := range b.cluster.servers {
			b.update(s.current(), s.registers())
		}
		select {
		case <-b.cluster.done:
			return
		case <-ticker.C:
		}
	}
}

func (b *beats) update(d *standin.Database, registers bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	key := string(d.ID)
	known := b.last[key]
	if !registers {
		if known.entry != "" && time.Since(known.at) > silenceLimit {
			b.cluster.store.Delete(tableServers, key)
			b.last[key] = beat{}
			b.cluster.record.line("store: the entry of %s has expired", key)
		}
		return
	}
	entry := string(d.Registration(d.Address))
	if entry != known.entry {
		b.cluster.store.Put(tableServers, key, []byte(entry))
		b.cluster.record.line("store: %s registers %s", key, entry)
		b.last[key] = beat{entry, time.Now()}
		return
	}
	if time.Since(known.at) >= heartbeatInterval {
		b.last[key] = beat{entry, time.Now()}
	}
}

// rewrite lets the databases write their entries again.
func (b *beats) rewrite() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for key, known := range b.last {
		if known.entry != "" {
			b.last[key] = beat{"lost with the store's last seconds", known.at}
		}
	}
}
