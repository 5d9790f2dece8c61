package simcodec

import (
	"encoding/binary"
	"fmt"
	"io"
	"math"

	"alderproxy/policy"
)

// Actions of the protocol that have no type in package policy.
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
	// Crash reports that the code of package policy panicked.
	Crash struct{ Text string }
)

// WriteActions writes one frame with the actions, in their order.
func WriteActions(out io.Writer, actions []Addressed) error {
	e := encoder{}
	for i, a := range actions {
		if i == 0 || a.Instance != actions[i-1].Instance {
			e.beginRecord(actionSelectInstance)
			e.putU16(1, a.Instance)
		}
		if err := e.encode(a.Value); err != nil {
			return fmt.Errorf("action %d of instance %d: %w", i, a.Instance, err)
		}
	}
	frame := make([]byte, actionHeaderSize, actionHeaderSize+len(e.records)+len(e.tail))
	binary.LittleEndian.PutUint32(frame[0:], uint32(len(e.records)+len(e.tail)))
	binary.LittleEndian.PutUint32(frame[4:], uint32(len(e.records)/actionSize))
	frame = append(frame, e.records...)
	frame = append(frame, e.tail...)
	if _, err := out.Write(frame); err != nil {
		return fmt.Errorf("write actions: %w", err)
	}
	return nil
}

// encoder composes a frame of records of a fixed size and a tail with data of variable size.
type encoder struct {
	records []byte
	tail    []byte
	current []byte // the record that is being written; a slice of records
}

// beginRecord appends a record with a code and makes it the current one.
func (e *encoder) beginRecord(code byte) {
	e.records = append(e.records, make([]byte, actionSize)...)
	e.current = e.records[len(e.records)-actionSize:]
	e.current[0] = code
}

// putU16 and putU32 write a number at an offset in the current record.
func (e *encoder) putU16(at int, v uint16) { binary.LittleEndian.PutUint16(e.current[at:], v) }
func (e *encoder) putU32(at int, v uint32) { binary.LittleEndian.PutUint32(e.current[at:], v) }

// putID writes the ID of a part or query, which is the first field of its actions.
func (e *encoder) putID(v uint64) { binary.LittleEndian.PutUint64(e.current[1:], v) }

func (e *encoder) putBool(at int, v bool) {
	if v {
		e.current[at] = 1
	}
}

// putData adds data to the tail and writes its offset and its size in the current record.
func (e *encoder) putData(at int, data string) {
	e.putU32(at, uint32(len(e.tail)))
	e.putU32(at+4, uint32(len(data)))
	e.tail = append(e.tail, data...)
}

// clampMicros limits a duration to the range that the protocol allows.
func clampMicros(v policy.Micros) uint32 { return uint32(min(max(v, 0), math.MaxInt32)) }

func (e *encoder) encode(action any) error {
	switch a := action.(type) {
	case policy.SendAttempt:
		e.beginRecord(actionSendAttempt)
		e.putID(a.PartID)
		e.putU32(9, a.ServerID)
		e.putU32(13, clampMicros(a.Timeout))
	case policy.Reject:
		e.beginRecord(actionReject)
		e.putID(a.QueryID)
		e.putU32(9, clampMicros(a.RetryAfter))
	case policy.Fail:
		e.beginRecord(actionFail)
		e.putID(a.QueryID)
	case policy.CancelAttempt:
		e.beginRecord(actionCancelAttempt)
		e.putID(a.PartID)
		e.putU16(9, uint16(a.AttemptIndex))
	case policy.SetTimer:
		e.beginRecord(actionSetTimer)
		e.putU32(1, clampMicros(a.Delay))
	case policy.HealthCheck:
		e.beginRecord(actionHealthCheck)
		e.putU32(1, a.ServerID)
	case policy.Log:
		e.beginRecord(actionLog)
		e.putData(1, a.Text)
	case policy.Answer:
		e.beginRecord(actionAnswer)
		e.putID(a.QueryID)
		e.putBool(9, a.Complete)
	case policy.PollEndpoints:
		e.beginRecord(actionSubscribe)
		e.putBool(1, true)
	case Unsubscribe:
		e.beginRecord(actionSubscribe)
	case RequestList:
		e.beginRecord(actionRequestList)
	case policy.CloseIdleConnections:
		e.beginRecord(actionCloseIdle)
		e.putU32(1, a.ServerID)
	case SendMessage:
		e.beginRecord(actionSendMessage)
		e.putU16(1, a.To)
		e.putData(3, string(a.Data))
	case Crash:
		e.beginRecord(actionCrash)
		e.putData(1, a.Text)
	default:
		return fmt.Errorf("no action code for type %T", action)
	}
	return nil
}
