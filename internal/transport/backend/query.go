package backend

import (
	"bytes"
	"context"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/rotisserie/eris"
)

// row holds the columns of one row in text format.
type row [][]byte

// query sends messages as one exchange and returns the rows of the reply. An error
// response is returned as a *pgconn.PgError, after which the connection remains
// usable.
func (c *Conn) query(ctx context.Context, messages []byte) (rows []row, err error) {
	if err := c.Write(ctx, messages); err != nil {
		return nil, err
	}
	var refused error
	for {
		message, err := c.Receive(ctx)
		if err != nil {
			return nil, err
		}
		body := message.Raw[headerBytes:]
		switch message.Type {
		case 'D':
			var data pgproto3.DataRow
			if err := data.Decode(bytes.Clone(body)); err != nil {
				return nil, eris.Wrap(err, "decode row")
			}
			rows = append(rows, data.Values)
		case 'E':
			var response pgproto3.ErrorResponse
			if err := response.Decode(body); err != nil {
				return nil, eris.Wrap(err, "decode error response")
			}
			refused = pgconn.ErrorResponseToPgError(&response)
		case 'Z':
			return rows, refused
		}
	}
}

// encodeMessages encodes messages of a fixed form, which cannot fail.
func encodeMessages(messages ...pgproto3.FrontendMessage) []byte {
	var encoded []byte
	for _, message := range messages {
		var err error
		if encoded, err = message.Encode(encoded); err != nil {
			panic(err)
		}
	}
	return encoded
}
