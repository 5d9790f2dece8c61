// Package simcodec turns frames of the simulator's protocol into the policy's own types and back.
// It translates and checks; it decides nothing.
package simcodec

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"

	"alderproxy/policy"
)

const (
	batchHeader = 16
	eventSize   = 48
	actionSize  = 24
	entrySize   = 21
	maxLists    = 16
)

// Codes of the events.
const (
	evRequest        = 16
	evInventory      = 17
	evOutcome        = 18
	evStreaming      = 19
	evClientCanceled = 20
	evTimer          = 21
	evProbeResult    = 22
	evMessage        = 23
	evMembership     = 24
	evHello          = 25
	evTo             = 26
	evDown           = 27
)

// Codes of the actions.
const (
	acSend      = 16
	acRefuse    = 17
	acFail      = 18
	acCancel    = 19
	acWake      = 20
	acProbe     = 21
	acCloseIdle = 22
	acTell      = 23
	acLog       = 24
	acCrash     = 25
	acSubscribe = 26
	acSnapshot  = 27
	acAnswer    = 28
	acFor       = 29
)

// ErrFrame is behind every error about bytes that do not follow the protocol.
var ErrFrame = errors.New("malformed frame")

// Hello starts an instance.
type Hello struct {
	Salt  uint64
	Facts string
}

// Down kills an instance.
type Down struct{}

// Mode tells what a List is.
type Mode uint8

// The modes of a list.
const (
	Delta Mode = iota
	Full
	Cached
	Failed
)

// List is news of the server list, its entries in the order sent.
type List struct {
	Version uint64
	Mode    Mode
	Entries []policy.Endpoint
}

// Streaming says that a streamed answer has begun.
type Streaming struct {
	Part   uint64
	Try    int
	Server uint32
}

// Message comes from a fellow instance.
type Message struct {
	From uint16
	Data []byte
}

// Answered is an attempt's outcome with its report as raw figures; Probed is a probe's.
type (
	Answered struct {
		policy.AttemptResult
		Figures []float32
		Over    bool
	}
	Probed struct {
		policy.HealthCheckResult
		Figures []float32
	}
)

// Addressed is one event or action and the instance it concerns.
type Addressed struct {
	Instance uint16
	What     any
}

// Batch is one frame of events.
type Batch struct {
	Clock  policy.Micros
	Events []Addressed
}

// Decoder reads batches. Numbered lists live as long as it does, since a batch may refer to
// one sent earlier.
type Decoder struct {
	in    io.Reader
	lists [maxLists][]policy.Endpoint
	known [maxLists]bool
	frame int
}

// NewDecoder reads from in.
func NewDecoder(in io.Reader) *Decoder { return &Decoder{in: in} }

func malformed(format string, args ...any) error {
	return fmt.Errorf("%w: %s", ErrFrame, fmt.Sprintf(format, args...))
}

// Next reads one batch. It returns io.EOF where the input ends between frames.
func (d *Decoder) Next() (Batch, error) {
	var head [batchHeader]byte
	if n, err := io.ReadFull(d.in, head[:]); err == io.EOF {
		return Batch{}, io.EOF
	} else if err != nil {
		return Batch{}, fmt.Errorf("frame %d: header cut off after %d bytes: %w", d.frame, n, orFrame(err))
	}
	count := int64(binary.LittleEndian.Uint32(head[0:]))
	size := int64(binary.LittleEndian.Uint32(head[4:]))
	if count*eventSize > size {
		return Batch{}, fmt.Errorf("frame %d: %w", d.frame,
			malformed("%d records do not fit into %d bytes", count, size))
	}
	// The buffer grows with the bytes that really come: a false size allocates nothing.
	var body bytes.Buffer
	if n, err := io.CopyN(&body, d.in, size); err != nil {
		return Batch{}, fmt.Errorf("frame %d: body cut off after %d of %d bytes: %w", d.frame, n, size, orFrame(err))
	}
	batch := Batch{Clock: policy.Micros(binary.LittleEndian.Uint64(head[8:]))}
	if err := d.records(&batch, body.Bytes(), int(count)); err != nil {
		return Batch{}, fmt.Errorf("frame %d: %w", d.frame, err)
	}
	d.frame++
	return batch, nil
}

func orFrame(err error) error {
	if err == io.EOF || err == io.ErrUnexpectedEOF {
		return ErrFrame
	}
	return err
}

func (d *Decoder) records(batch *Batch, body []byte, count int) error {
	tail := body[count*eventSize:]
	addressed, to := false, uint16(0)
	for i := range count {
		rec := record(body[i*eventSize : (i+1)*eventSize])
		switch rec[0] {
		case evTo:
			addressed, to = true, rec.u16(1)
			continue
		case evInventory:
			if err := d.inventory(rec, tail); err != nil {
				return fmt.Errorf("record %d: %w", i, err)
			}
			continue
		}
		what, err := d.event(rec, tail)
		if err == nil && !addressed {
			err = malformed("event %d comes before any TO", rec[0])
		}
		if err != nil {
			return fmt.Errorf("record %d: %w", i, err)
		}
		batch.Events = append(batch.Events, Addressed{to, what})
	}
	return nil
}

func (d *Decoder) event(rec record, tail []byte) (any, error) {
	switch rec[0] {
	case evRequest:
		return rec.request(), nil
	case evOutcome:
		figures, err := rec.figures(21)
		return Answered{AttemptResult: policy.AttemptResult{
				Part: rec.u64(1), Attempt: int(rec.u16(9)), Server: rec.u32(11),
				Status: status(rec[15]), Elapsed: policy.Micros(rec.u32(16)),
			}, Figures: figures, Over: rec[20] != 0},
			firstError(err, checkStatus(rec[15]))
	case evStreaming:
		return Streaming{Part: rec.u64(1), Try: int(rec.u16(13)), Server: rec.u32(15)}, nil
	case evClientCanceled:
		return policy.ClientCanceled{Query: rec.u64(1)}, nil
	case evTimer:
		return policy.Timer{}, nil
	case evProbeResult:
		figures, err := rec.figures(10)
		return Probed{HealthCheckResult: policy.HealthCheckResult{
			Server: rec.u32(5), Status: status(rec[9]),
			Elapsed: policy.Micros(rec.u32(1)),
		}, Figures: figures}, firstError(err, checkStatus(rec[9]))
	case evMessage:
		data, err := slice(tail, rec.u32(3), rec.u32(7), 1)
		return Message{From: rec.u16(1), Data: data}, err
	case evMembership:
		return d.membership(rec)
	case evHello:
		facts, err := slice(tail, rec.u32(9), rec.u32(13), 1)
		return Hello{Salt: rec.u64(1), Facts: string(facts)}, err
	case evDown:
		return Down{}, nil
	}
	return nil, malformed("unknown event code %d", rec[0])
}

func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

func (d *Decoder) inventory(rec record, tail []byte) error {
	number := rec.u16(1)
	if number >= maxLists {
		return malformed("list number %d", number)
	}
	raw, err := slice(tail, rec.u32(3), rec.u32(7), entrySize)
	if err != nil {
		return fmt.Errorf("list %d: %w", number, err)
	}
	list := make([]policy.Endpoint, 0, len(raw)/entrySize)
	for ; len(raw) > 0; raw = raw[entrySize:] {
		e := record(raw[:entrySize])
		if e[9] > 2 {
			return malformed("list %d: availability %d", number, e[9])
		}
		list = append(list, policy.Endpoint{
			ID: e.u32(5), State: presence[e[9]], RingPosition: int(e.u16(18)),
			Zone: int(e[0]), Capacity: float64(e.f32(1)), StartedAt: policy.Micros(e.u64(10)),
		})
	}
	d.lists[number], d.known[number] = list, true
	return nil
}

var presence = [3]policy.EndpointState{policy.Removed, policy.Ready, policy.Draining}

func (d *Decoder) membership(rec record) (any, error) {
	number, mode := rec.u16(1), Mode(rec[11])
	list := List{Version: rec.u64(3), Mode: mode}
	if mode > Failed {
		return nil, malformed("list mode %d", mode)
	}
	if mode == Failed {
		return list, nil
	}
	if number >= maxLists || !d.known[number] {
		return nil, malformed("list %d was never sent", number)
	}
	list.Entries = d.lists[number]
	return list, nil
}

// record is one event record or list entry.
type record []byte

func (r record) u16(at int) uint16  { return binary.LittleEndian.Uint16(r[at:]) }
func (r record) u32(at int) uint32  { return binary.LittleEndian.Uint32(r[at:]) }
func (r record) u64(at int) uint64  { return binary.LittleEndian.Uint64(r[at:]) }
func (r record) f32(at int) float32 { return math.Float32frombits(r.u32(at)) }

const (
	bitHint  = 1
	bitRetry = 2
)

func (r record) request() any {
	number := uint64(r.u32(33)) // the bits of the f32: it is only ever compared
	if shard := r.f32(37); shard >= 0 {
		part := policy.Part{
			ID: r.u64(1), Number: number, Shard: whole(shard), Key: r.u64(13),
			Weight: float64(r.f32(41)),
		}
		if r.u16(45)&bitHint != 0 {
			part.CostHint = policy.Micros(r.u32(29))
		}
		return part
	}
	return policy.Query{
		ID: r.u64(1), Number: number, Class: int(r.u16(9)), Tenant: int(r.u16(11)),
		Key: r.u64(13), Deadline: policy.Micros(r.u64(21)), Parts: whole(r.f32(41)),
		Retry: r.u16(45)&bitRetry != 0,
	}
}

// whole reads a count sent as f32; what is no such count becomes -1.
func whole(f float32) int {
	if f >= 0 && f < 1<<24 {
		return int(f)
	}
	return -1
}

func (r record) figures(at int) ([]float32, error) {
	n := int(r[at])
	if n > 4 {
		return nil, malformed("load report of %d values", n)
	}
	var out []float32
	for i := range n {
		out = append(out, r.f32(at+1+4*i))
	}
	return out, nil
}

var statuses = [...]policy.Status{
	1: policy.OK, 2: policy.ServerError, 3: policy.Rejected, 4: policy.TimedOut,
	5: policy.ConnectFailed, 6: policy.ConnectionBroken, 7: policy.Canceled, 8: policy.Withdrawn,
}

func checkStatus(code byte) error {
	if code == 0 || int(code) >= len(statuses) {
		return malformed("outcome code %d", code)
	}
	return nil
}

func status(code byte) policy.Status {
	if checkStatus(code) != nil {
		return policy.ServerError
	}
	return statuses[code]
}

func slice(tail []byte, offset, count uint32, unit int) ([]byte, error) {
	from, size := int64(offset), int64(count)*int64(unit)
	if from+size > int64(len(tail)) {
		return nil, malformed("%d bytes at %d lie beyond the tail of %d", size, from, len(tail))
	}
	return tail[from : from+size], nil
}
