package renewals

import (
	"slices"
	"time"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/leadership"
	"github.com/cyclamenpin/cyclamenpin/internal/coordination/rowstore"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
	"github.com/cyclamenpin/cyclamenpin/internal/state/packed"
)

// Kinds of messages.
const (
	kindCollect = 1 // from the collector: asks for a renewal
	kindOffer   = 2 // the renewal
	kindResult  = 3 // from the collector: what became of it
)

// maxMessageBytes bounds a message to what one packet holds. An instance whose renewal
// is larger sends it itself.
const maxMessageBytes = 1300

// message is one datagram.
type message struct {
	Kind  uint8            `msgpack:"k"`
	Nonce uint64           `msgpack:"n"`
	From  state.InstanceID `msgpack:"f"`
	// Era is the era of the versions in an offer or a result.
	Era uint64 `msgpack:"e"`
	// Row and Conditions are those of an offer; the row's key is From.
	Row        []byte      `msgpack:"r,omitempty"`
	Conditions []condition `msgpack:"c,omitempty"`
	// Committed, Version and Now are the result of an offer.
	Committed bool   `msgpack:"d,omitempty"`
	Version   uint64 `msgpack:"v,omitempty"`
	Now       int64  `msgpack:"t,omitempty"`
}

type condition struct {
	Table   string `msgpack:"t"`
	Key     string `msgpack:"k"`
	Version uint64 `msgpack:"v"`
}

func (m message) encode() ([]byte, error) {
	encoded, err := msgpack.Marshal(m)
	if err == nil && len(encoded) > maxMessageBytes {
		err = eris.Errorf("message of %d bytes is too long", len(encoded))
	}
	return encoded, eris.Wrap(err, "encode a message on renewals")
}

func decode(datagram []byte) (message, error) {
	var m message
	err := packed.Unmarshal(datagram, &m)
	return m, eris.Wrap(err, "decode a message on renewals")
}

func offerMessage(nonce uint64, from state.InstanceID, transaction rowstore.Transaction) message {
	m := message{Kind: kindOffer, Nonce: nonce, From: from, Era: transaction.Era, Row: transaction.Puts[0].Value}
	for _, of := range transaction.Conditions {
		m.Conditions = append(m.Conditions, condition(of))
	}
	return m
}

// namesOwnRow reports whether an offer depends on the version of the row that it
// replaces. Otherwise a late one could replace a later renewal.
func (m message) namesOwnRow() bool {
	return slices.ContainsFunc(m.Conditions, func(of condition) bool {
		return of.Table == leadership.TableInstances && of.Key == string(m.From)
	})
}

func (m message) conditions() []rowstore.Condition {
	conditions := make([]rowstore.Condition, 0, len(m.Conditions))
	for _, of := range m.Conditions {
		conditions = append(conditions, rowstore.Condition(of))
	}
	return conditions
}

func (m message) commit() rowstore.Commit {
	return rowstore.Commit{Version: m.Version, Now: time.Duration(m.Now), Era: m.Era}
}
