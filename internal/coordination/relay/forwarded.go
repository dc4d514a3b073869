package relay

import (
	"crypto/sha256"
	"encoding/hex"
	"strconv"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/pooling"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// nameBytes is the length of the hash in the names of prepared statements.
const nameBytes = 12

// name returns the name under which a statement is prepared on database
// connections. It is the same in all instances, since a statement may run on
// another instance's connection, and whatever names the clients give it.
func (p preparedStatement) name() string {
	sum := sha256.Sum256([]byte(strconv.FormatBool(p.writes) + " " + p.text))
	return "p" + hex.EncodeToString(sum[:nameBytes])
}

// failedReply returns the reply to a request whose statement got no reply from the
// database. A forwarded one that was surely not sent is like one that got no
// connection.
func (s *Session) failedReply(r *request, err error) (state.Reply, bool) {
	r.lastError = err
	if !pooling.NotSent(err) {
		return s.lostReply(r)
	}
	reply, retry := s.unsentReply(r, err)
	return reply, retry || r.role == "replica"
}
