package simcodec

import (
	"encoding/binary"
	"fmt"
	"io"
	"math"

	"alderproxy/policy"
)

// Actions of the protocol that the policy does not use.
type (
	// Snapshot asks once for the complete list.
	Snapshot struct{}
	// Unsubscribe ends the subscription to list changes.
	Unsubscribe struct{}
	// Tell sends data to a fellow instance, or to all of them.
	Tell struct {
		To   uint16
		Data []byte
	}
	// Crash declares that decision code failed.
	Crash struct{ Text string }
)

// WriteReply writes one frame of actions.
func WriteReply(out io.Writer, actions []Addressed) error {
	e := encoder{}
	for i, a := range actions {
		if i == 0 || a.Instance != actions[i-1].Instance {
			e.begin(acFor)
			e.u16(1, a.Instance)
		}
		if err := e.action(a.What); err != nil {
			return fmt.Errorf("action %d of instance %d: %w", i, a.Instance, err)
		}
	}
	head := make([]byte, 8, 8+len(e.records)+len(e.tail))
	binary.LittleEndian.PutUint32(head[0:], uint32(len(e.records)+len(e.tail)))
	binary.LittleEndian.PutUint32(head[4:], uint32(len(e.records)/actionSize))
	frame := append(append(head, e.records...), e.tail...)
	if _, err := out.Write(frame); err != nil {
		return fmt.Errorf("write reply: %w", err)
	}
	return nil
}

type encoder struct{ records, tail, now []byte }

func (e *encoder) begin(code byte) {
	e.records = append(e.records, make([]byte, actionSize)...)
	e.now = e.records[len(e.records)-actionSize:]
	e.now[0] = code
}

func (e *encoder) u16(at int, v uint16) { binary.LittleEndian.PutUint16(e.now[at:], v) }
func (e *encoder) u32(at int, v uint32) { binary.LittleEndian.PutUint32(e.now[at:], v) }
func (e *encoder) u64(at int, v uint64) { binary.LittleEndian.PutUint64(e.now[at:], v) }

func (e *encoder) flag(at int, v bool) {
	if v {
		e.now[at] = 1
	}
}

func (e *encoder) data(at int, data string) {
	e.u32(at, uint32(len(e.tail)))
	e.u32(at+4, uint32(len(data)))
	e.tail = append(e.tail, data...)
}

func span(v policy.Micros) uint32 { return uint32(min(max(v, 0), math.MaxInt32)) }

func (e *encoder) action(what any) error {
	switch a := what.(type) {
	case policy.SendAttempt:
		e.begin(acSend)
		e.u64(1, a.Part)
		e.u32(9, a.Server)
		e.u32(13, span(a.Timeout))
	case policy.Reject:
		e.begin(acRefuse)
		e.u64(1, a.Query)
		e.u32(9, span(a.RetryAfter))
	case policy.Fail:
		e.begin(acFail)
		e.u64(1, a.Query)
	case policy.CancelAttempt:
		e.begin(acCancel)
		e.u64(1, a.Part)
		e.u16(9, uint16(a.Attempt))
	case policy.SetTimer:
		e.begin(acWake)
		e.u32(1, span(a.After))
	case policy.HealthCheck:
		e.begin(acProbe)
		e.u32(1, a.Server)
	case policy.Log:
		e.begin(acLog)
		e.data(1, a.Text)
	case policy.Answer:
		e.begin(acAnswer)
		e.u64(1, a.Query)
		e.flag(9, a.Complete)
	case policy.PollEndpoints:
		e.begin(acSubscribe)
		e.flag(1, true)
	case Unsubscribe:
		e.begin(acSubscribe)
	case Snapshot:
		e.begin(acSnapshot)
	case policy.CloseIdleConnections:
		e.begin(acCloseIdle)
		e.u32(1, a.Server)
	case Tell:
		e.begin(acTell)
		e.u16(1, a.To)
		e.data(3, string(a.Data))
	case Crash:
		e.begin(acCrash)
		e.data(1, a.Text)
	default:
		return fmt.Errorf("no code for %T", what)
	}
	return nil
}
