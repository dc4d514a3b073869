package linebackend

import (
	"hash/maphash"
	"slices"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// maxProofs is how many of a connection's last proofs are known.
const maxProofs = 512

var proofSeed = maphash.MakeSeed()

// replyHistory tells which replies of a connection can be repeats of earlier ones.
type replyHistory struct {
	// results holds the last replies with a proof. A database gives each statement that
	// it runs another proof.
	results []resultHash
	oldest  int
	// errors, done and statuses hold a bit for each error code, and for each
	// transaction state of a reply without rows and proof, and with rows alone.
	errors, done, statuses uint32
}

// resultHash identifies a reply with a proof.
type resultHash struct{ proof, rows uint64 }

func hashResult(reply state.Reply) resultHash {
	hash := resultHash{proof: maphash.String(proofSeed, reply.Proof)}
	for _, row := range reply.Rows {
		hash.rows = maphash.Comparable(proofSeed, [2]uint64{hash.rows, maphash.String(proofSeed, row)})
	}
	return hash
}

// add records a reply.
func (h *replyHistory) add(reply state.Reply) {
	switch bit := uint32(1) << reply.Transaction; {
	case reply.Code != state.CodeNone:
		h.errors |= 1 << reply.Code
	case kindOf(reply) == done:
		h.done |= bit
	case kindOf(reply) == status:
		h.statuses |= bit
	case kindOf(reply) == result:
		h.addResult(hashResult(reply))
	}
}

func (h *replyHistory) addResult(hash resultHash) {
	if len(h.results) < maxProofs {
		h.results = append(h.results, hash)
		return
	}
	h.results[h.oldest] = hash
	h.oldest = (h.oldest + 1) % maxProofs
}

// isNew reports whether no reply with the same proof was recorded.
func (h *replyHistory) isNew(reply state.Reply) bool {
	proof := maphash.String(proofSeed, reply.Proof)
	return !slices.ContainsFunc(h.results, func(of resultHash) bool { return of.proof == proof })
}

// isRepeat reports whether a reply that answers no statement is a repeat and nothing else.
// One that was sent between the rows of another reply has those before its own.
func (h *replyHistory) isRepeat(reply state.Reply) bool {
	if reply.Proof != "" {
		return slices.Contains(h.results, hashResult(reply))
	}
	return len(reply.Rows) == 0
}

// hasError reports whether an error with the code was recorded.
func (h *replyHistory) hasError(code state.ErrorCode) bool {
	return h.errors&(1<<code) != 0
}

// has reports whether a reply without a proof was recorded that the expected one, with
// the given transaction state, can't be told from. A rollback can't fail, so that a repeat
// says nothing wrong of it.
func (h *replyHistory) has(expected expectation, transaction state.TransactionState) bool {
	bit := uint32(1) << transaction
	switch expected {
	case done, begun:
		return h.done&bit != 0
	case status:
		return h.statuses&bit != 0
	default:
		return false
	}
}
