package simcodec

import (
	"encoding/binary"
	"fmt"
	"io"
	"math"

	"alderproxy/policy"
)

// Actions of the protocol that the decision module does not use.
type (
	// RequestList requests the complete endpoint list once.
	RequestList struct{}
	// Unsubscribe ends the subscription to changes of the endpoint list.
	Unsubscribe struct{}
	// SendMessage sends a message to another instance, or to all of them.
	SendMessage struct {
		To   uint16
		Data []byte
	}
	// Crash reports that the decision module panicked.
	Crash struct{ Text string }
)

// WriteActions writes one frame with actions, in order.
func WriteActions(out io.Writer, actions []Addressed) error {
	e := encoder{}
	for i, a := range actions {
		if i == 0 || a.Instance != actions[i-1].Instance {
			e.begin(actionFor)
			e.u16(1, a.Instance)
		}
		if err := e.encode(a.Value); err != nil {
			return fmt.Errorf("action %d of instance %d: %w", i, a.Instance, err)
		}
	}
	frame := make([]byte, replyHeaderSize, replyHeaderSize+len(e.records)+len(e.tail))
	binary.LittleEndian.PutUint32(frame[0:], uint32(len(e.records)+len(e.tail)))
	binary.LittleEndian.PutUint32(frame[4:], uint32(len(e.records)/actionSize))
	frame = append(frame, e.records...)
	frame = append(frame, e.tail...)
	if _, err := out.Write(frame); err != nil {
		return fmt.Errorf("write reply: %w", err)
	}
	return nil
}

// encoder composes a frame: records of a fixed size and a tail with data of variable size.
type encoder struct {
	records []byte
	tail    []byte
	current []byte // the record that is being written, a part of records
}

func (e *encoder) begin(code byte) {
	e.records = append(e.records, make([]byte, actionSize)...)
	e.current = e.records[len(e.records)-actionSize:]
	e.current[0] = code
}

// u16 and u32 write a number at an offset in the current record.
func (e *encoder) u16(at int, v uint16) { binary.LittleEndian.PutUint16(e.current[at:], v) }
func (e *encoder) u32(at int, v uint32) { binary.LittleEndian.PutUint32(e.current[at:], v) }

// id writes the id of a part or query, which is the first field of an action.
func (e *encoder) id(v uint64) { binary.LittleEndian.PutUint64(e.current[1:], v) }

func (e *encoder) flag(at int, v bool) {
	if v {
		e.current[at] = 1
	}
}

func (e *encoder) data(at int, data string) {
	e.u32(at, uint32(len(e.tail)))
	e.u32(at+4, uint32(len(data)))
	e.tail = append(e.tail, data...)
}

func clampMicros(v policy.Micros) uint32 { return uint32(min(max(v, 0), math.MaxInt32)) }

func (e *encoder) encode(what any) error {
	switch a := what.(type) {
	case policy.SendAttempt:
		e.begin(actionSendAttempt)
		e.id(a.PartID)
		e.u32(9, a.ServerID)
		e.u32(13, clampMicros(a.Timeout))
	case policy.Reject:
		e.begin(actionReject)
		e.id(a.QueryID)
		e.u32(9, clampMicros(a.RetryAfter))
	case policy.Fail:
		e.begin(actionFail)
		e.id(a.QueryID)
	case policy.CancelAttempt:
		e.begin(actionCancelAttempt)
		e.id(a.PartID)
		e.u16(9, uint16(a.AttemptIndex))
	case policy.SetTimer:
		e.begin(actionSetTimer)
		e.u32(1, clampMicros(a.Delay))
	case policy.HealthCheck:
		e.begin(actionHealthCheck)
		e.u32(1, a.ServerID)
	case policy.Log:
		e.begin(actionLog)
		e.data(1, a.Text)
	case policy.Answer:
		e.begin(actionAnswer)
		e.id(a.QueryID)
		e.flag(9, a.Complete)
	case policy.PollEndpoints:
		e.begin(actionSubscribe)
		e.flag(1, true)
	case Unsubscribe:
		e.begin(actionSubscribe)
	case RequestList:
		e.begin(actionRequestList)
	case policy.CloseIdleConnections:
		e.begin(actionCloseIdle)
		e.u32(1, a.ServerID)
	case SendMessage:
		e.begin(actionSendMessage)
		e.u16(1, a.To)
		e.data(3, string(a.Data))
	case Crash:
		e.begin(actionCrash)
		e.data(1, a.Text)
	default:
		return fmt.Errorf("no code for %T", what)
	}
	return nil
}
