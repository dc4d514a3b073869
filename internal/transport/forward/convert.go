package forward

import (
	"math"
	"time"

	"github.com/rotisserie/eris"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/forwarding"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
	"github.com/cyclamenpin/cyclamenpin/internal/state/packed"
)

func milliseconds(d time.Duration) uint32 {
	return uint32(min(max(0, d.Milliseconds()), math.MaxUint32))
}

func encodePosition(p state.Position) positionMessage {
	return positionMessage{Term: uint64(p.Term), Offset: p.Offset}
}

func (m positionMessage) decode() state.Position {
	return state.Position{Term: state.Term(m.Term), Offset: m.Offset}
}

func encodeCall(call forwarding.Call) *callMessage {
	m := &callMessage{
		Operation: uint8(call.Operation), Group: string(call.Group), Database: string(call.Database), Born: call.Born,
		Workspace: string(call.Workspace), Priority: call.Priority, Primary: call.Primary, Values: call.Values,
		ID: call.ID, Text: call.Text, After: encodePosition(call.After), Wait: milliseconds(call.Wait), Left: milliseconds(call.Left),
	}
	if p := call.Prepared; p != nil {
		m.Prepared = &preparedMessage{Name: p.Name, Shape: p.Shape, Writes: p.Writes}
	}
	return m
}

func decodeCall(body []byte) (forwarding.Call, error) {
	var m callMessage
	if err := packed.Unmarshal(body, &m); err != nil {
		return forwarding.Call{}, eris.Wrap(err, "decode call")
	}
	if forwarding.Operation(m.Operation) > forwarding.OperationRollback {
		return forwarding.Call{}, eris.Errorf("unknown operation %d", m.Operation)
	}
	call := forwarding.Call{
		Operation: forwarding.Operation(m.Operation), Group: state.GroupID(m.Group), Database: state.DatabaseID(m.Database), Born: m.Born,
		Workspace: state.WorkspaceID(m.Workspace), Priority: m.Priority, Primary: m.Primary, Values: m.Values,
		ID: m.ID, Text: m.Text, After: m.After.decode(),
		Wait: time.Duration(m.Wait) * time.Millisecond, Left: time.Duration(m.Left) * time.Millisecond,
	}
	if p := m.Prepared; p != nil {
		call.Prepared = &forwarding.Prepared{Name: p.Name, Shape: p.Shape, Writes: p.Writes}
	}
	return call, nil
}

func encodeAnswer(answer forwarding.Answer) *answerMessage {
	reply := answer.Reply
	return &answerMessage{
		Refusal: uint8(answer.Refusal), Detail: answer.Detail, RetryAfter: milliseconds(answer.RetryAfter), Rows: reply.Rows, Proof: reply.Proof,
		Code: uint8(reply.Code), CodeDetail: reply.Detail, Transaction: uint8(reply.Transaction), Position: encodePosition(reply.Position),
	}
}

func decodeAnswer(body []byte) (forwarding.Answer, error) {
	var m answerMessage
	if err := packed.Unmarshal(body, &m); err != nil {
		return forwarding.Answer{}, eris.Wrap(err, "decode answer")
	}
	if forwarding.Refusal(m.Refusal) > forwarding.RefusedPrimary || state.ErrorCode(m.Code) > state.CodeOther || state.TransactionState(m.Transaction) > state.TransactionFailed {
		return forwarding.Answer{}, eris.Errorf("unknown refusal %d, code %d or state %d", m.Refusal, m.Code, m.Transaction)
	}
	return forwarding.Answer{
		Refusal: forwarding.Refusal(m.Refusal), Detail: m.Detail, RetryAfter: time.Duration(m.RetryAfter) * time.Millisecond,
		Reply: state.Reply{
			Rows: m.Rows, Proof: m.Proof, Code: state.ErrorCode(m.Code), Detail: m.CodeDetail,
			Transaction: state.TransactionState(m.Transaction), Position: m.Position.decode(),
		},
	}, nil
}
