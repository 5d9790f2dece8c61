package simcodec

import (
	"bytes"
	"cmp"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"

	"alderproxy/policy"
)

// ErrFrame is wrapped by every error about input that violates the protocol.
var ErrFrame = errors.New("malformed frame")

const (
	// maxLoadValues is the maximum number of values in a load report.
	maxLoadValues = 4
	// maxExactFloat32 is the number up to which a float32 represents every integer exactly.
	maxExactFloat32 = 1 << 24
)

// Decoder reads batches. It keeps the numbered endpoint lists, since a batch may refer to a list of an earlier batch.
type Decoder struct {
	input        io.Reader
	lists        [maxLists][]policy.Endpoint
	listReceived [maxLists]bool
	framesRead   int
}

// NewDecoder returns a decoder that reads from in.
func NewDecoder(in io.Reader) *Decoder { return &Decoder{input: in} }

func malformed(format string, args ...any) error {
	return fmt.Errorf("%w: %s", ErrFrame, fmt.Sprintf(format, args...))
}

// Next reads one batch. Its error is io.EOF if the input ends between two frames; any other error wraps ErrFrame or the
// error of the input.
func (d *Decoder) Next() (Batch, error) {
	var head [batchHeaderSize]byte
	if n, err := io.ReadFull(d.input, head[:]); errors.Is(err, io.EOF) {
		return Batch{}, io.EOF
	} else if err != nil {
		return Batch{}, fmt.Errorf("frame %d: header truncated after %d bytes: %w", d.framesRead, n, truncationError(err))
	}
	count := int64(binary.LittleEndian.Uint32(head[0:]))
	size := int64(binary.LittleEndian.Uint32(head[4:]))
	if count*eventSize > size {
		return Batch{}, fmt.Errorf("frame %d: %w", d.framesRead,
			malformed("%d records do not fit into %d bytes", count, size))
	}
	// The buffer grows as data arrives, so that a large announced size alone allocates no memory.
	var body bytes.Buffer
	if n, err := io.CopyN(&body, d.input, size); err != nil {
		return Batch{}, fmt.Errorf("frame %d: body truncated after %d of %d bytes: %w", d.framesRead, n, size, truncationError(err))
	}
	batch := Batch{Clock: policy.Micros(binary.LittleEndian.Uint64(head[8:]))}
	if err := d.decodeRecords(&batch, body.Bytes(), int(count)); err != nil {
		return Batch{}, fmt.Errorf("frame %d: %w", d.framesRead, err)
	}
	d.framesRead++
	return batch, nil
}

// truncationError returns ErrFrame for an end of the input within a frame, and any other error unchanged.
func truncationError(err error) error {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return ErrFrame
	}
	return err
}

// decodeRecords decodes the records of a frame, and adds their events to the batch. After the records, the frame has a tail
// with the data of variable size.
func (d *Decoder) decodeRecords(batch *Batch, body []byte, count int) error {
	tail := body[count*eventSize:]
	instanceSelected := false
	var instance uint16
	for i := range count {
		rec := record(body[i*eventSize : (i+1)*eventSize])
		switch rec[0] {
		case eventSelectInstance:
			instanceSelected = true
			instance = rec.u16(1)
			continue
		case eventList:
			if err := d.decodeList(rec, tail); err != nil {
				return fmt.Errorf("record %d: %w", i, err)
			}
			continue
		}
		value, err := d.decodeEvent(rec, tail)
		if err == nil && !instanceSelected {
			err = malformed("event code %d precedes the first TO record", rec[0])
		}
		if err != nil {
			return fmt.Errorf("record %d: %w", i, err)
		}
		batch.Events = append(batch.Events, Addressed{instance, value})
	}
	return nil
}

// decodeEvent decodes one record. The numbers are the protocol's offsets in the record.
func (d *Decoder) decodeEvent(rec record, tail []byte) (any, error) {
	switch rec[0] {
	case eventRequest:
		return rec.decodeRequest(), nil
	case eventAttemptResult:
		return rec.decodeAttemptResult()
	case eventStreaming:
		return Streaming{PartID: rec.u64(1), AttemptIndex: int(rec.u16(13)), ServerID: rec.u32(15)}, nil
	case eventClientCanceled:
		return policy.ClientCanceled{QueryID: rec.u64(1)}, nil
	case eventTimer:
		return policy.TimerFired{}, nil
	case eventHealthCheckResult:
		return rec.decodeHealthCheckResult()
	case eventMessage:
		data, err := tailSlice(tail, rec.u32(3), rec.u32(7), 1)
		return Message{From: rec.u16(1), Data: data}, err
	case eventListChange:
		return d.decodeListChange(rec)
	case eventStart:
		settings, err := tailSlice(tail, rec.u32(9), rec.u32(13), 1)
		return Start{Seed: rec.u64(1), Settings: string(settings)}, err
	case eventStop:
		return Stop{}, nil
	}
	return nil, malformed("unknown event code %d", rec[0])
}

// record is one event record or list entry.
type record []byte

func (r record) u16(at int) uint16 { return binary.LittleEndian.Uint16(r[at:]) }

func (r record) u32(at int) uint32 { return binary.LittleEndian.Uint32(r[at:]) }

func (r record) u64(at int) uint64 { return binary.LittleEndian.Uint64(r[at:]) }

func (r record) f32(at int) float32 { return math.Float32frombits(r.u32(at)) }

// Flags of a request.
const (
	flagCostHint = 1
	flagRetry    = 2
)

// decodeRequest decodes a part if the record names a shard, else a query.
func (r record) decodeRequest() any {
	numberBits := uint64(r.u32(33)) // the bits of a float32, used for comparison only
	if shard := r.f32(37); shard >= 0 {
		part := policy.Part{
			ID: r.u64(1), QueryNumber: numberBits, Shard: decodeCount(shard), AffinityKey: r.u64(13),
			Weight: float64(r.f32(41)),
		}
		if r.u16(45)&flagCostHint != 0 {
			part.CostHint = policy.Micros(r.u32(29))
		}
		return part
	}
	return policy.Query{
		ID: r.u64(1), Number: numberBits, Class: int(r.u16(9)), Tenant: int(r.u16(11)),
		RequestKey: r.u64(13), Deadline: policy.Micros(r.u64(21)), PartCount: decodeCount(r.f32(41)),
		Retry: r.u16(45)&flagRetry != 0,
	}
}

// decodeCount returns a count that is sent as a float32, or -1 if the number is not a count.
func decodeCount(f float32) int {
	if f >= 0 && f < maxExactFloat32 {
		return int(f)
	}
	return -1
}

// loadValues returns the values of a load report, which follow their number.
func (r record) loadValues(at int) ([]float32, error) {
	count := int(r[at])
	if count > maxLoadValues {
		return nil, malformed("load report has too many values: %d", count)
	}
	var values []float32
	for i := range count {
		values = append(values, r.f32(at+1+4*i))
	}
	return values, nil
}

// statusByCode maps the protocol's status codes. Code 0 is invalid.
var statusByCode = [...]policy.Status{
	1: policy.OK,
	2: policy.ServerError,
	3: policy.Rejected,
	4: policy.TimedOut,
	5: policy.ConnectFailed,
	6: policy.ConnectionBroken,
	7: policy.Canceled,
	8: policy.Withdrawn,
}

func decodeStatus(code byte) (policy.Status, error) {
	if code == 0 || int(code) >= len(statusByCode) {
		return policy.ServerError, malformed("unknown status code %d", code)
	}
	return statusByCode[code], nil
}

func (r record) decodeAttemptResult() (AttemptResult, error) {
	status, statusErr := decodeStatus(r[15])
	values, err := r.loadValues(21)
	result := policy.AttemptResult{
		PartID:       r.u64(1),
		AttemptIndex: int(r.u16(9)),
		ServerID:     r.u32(11),
		Status:       status,
		Elapsed:      policy.Micros(r.u32(16)),
	}
	return AttemptResult{AttemptResult: result, LoadValues: values, Final: r[20] != 0}, cmp.Or(err, statusErr)
}

func (r record) decodeHealthCheckResult() (HealthCheckResult, error) {
	status, statusErr := decodeStatus(r[9])
	values, err := r.loadValues(10)
	result := policy.HealthCheckResult{ServerID: r.u32(5), Status: status, Elapsed: policy.Micros(r.u32(1))}
	return HealthCheckResult{HealthCheckResult: result, LoadValues: values}, cmp.Or(err, statusErr)
}

// tailSlice returns the slice of the tail at an offset that holds count units of unitSize bytes each.
func tailSlice(tail []byte, offset, count uint32, unitSize int) ([]byte, error) {
	from := int64(offset)
	size := int64(count) * int64(unitSize)
	if from+size > int64(len(tail)) {
		return nil, malformed("%d bytes at offset %d exceed the tail of %d bytes", size, from, len(tail))
	}
	return tail[from : from+size], nil
}
