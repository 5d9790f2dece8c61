package simcodec

import (
	"bytes"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"io"
	"math"
	"reflect"
	"strings"
	"testing"

	"alderproxy/policy"
)

// frame composes a frame of records, which are given in hexadecimal (spaces allowed) and padded to their size, and a tail.
func frame(clock uint64, tail []byte, records ...string) []byte {
	var body []byte
	for _, r := range records {
		raw, err := hex.DecodeString(strings.ReplaceAll(r, " ", ""))
		if err != nil {
			panic(err)
		}
		body = append(body, append(raw, make([]byte, eventSize-len(raw))...)...)
	}
	body = append(body, tail...)
	head := make([]byte, batchHeaderSize)
	binary.LittleEndian.PutUint32(head[0:], uint32(len(records)))
	binary.LittleEndian.PutUint32(head[4:], uint32(len(body)))
	binary.LittleEndian.PutUint64(head[8:], clock)
	return append(head, body...)
}

func unhex(s string) []byte {
	raw, err := hex.DecodeString(strings.ReplaceAll(s, " ", ""))
	if err != nil {
		panic(err)
	}
	return raw
}

const selectInstance3 = "1a 0300"

var listEntries = unhex("00 0000803f 074a1203 01 0000000000000000 0000 00" +
	"00 0000c03f f211902c 02 20145d0000000000 0500 01")

var listEndpoints = []policy.Endpoint{
	{ID: 0x03124a07, State: policy.Ready, Capacity: 1},
	{ID: 0x2c9011f2, State: policy.Draining, Capacity: 1.5, StartedAt: 0x5d1420, RingPosition: 5},
}

// TestGoldenEvents guards the layout of each event on the wire: it decodes frames that were composed by hand.
func TestGoldenEvents(t *testing.T) {
	cases := []struct {
		name   string
		record string
		tail   []byte
		want   any
	}{
		{
			"query", "10 c4913a5dbb660100 0100 0200 640ad2557c3bf091 da05840000000000 00000000 00005643 000080bf 00008040 0200", nil,
			policy.Query{
				ID: 0x166bb5d3a91c4, Number: 0x43560000, Class: 1, Tenant: 2, RequestKey: 0x91f03b7c55d20a64,
				Deadline: 0x8405da, PartCount: 4, Retry: true,
			},
		},
		{
			"part", "10 c4913a5dbb660100 0000 0000 640ad2557c3bf091 da05840000000000 e02e0000 00005643 00000000 0000003e 0100", nil,
			policy.Part{ID: 0x166bb5d3a91c4, QueryNumber: 0x43560000, AffinityKey: 0x91f03b7c55d20a64, Weight: 0.125, CostHint: 12_000},
		},
		{"timer", "15 4d000000", nil, policy.TimerFired{}},
		{"client canceled", "14 192b6f0e0f5a0300", nil, policy.ClientCanceled{QueryID: 0x35a0f0e6f2b19}},
		{
			"attempt result", "12 c4913a5dbb660100 0100 074a1203 05 44480000 01 02 0000803f 00000040", nil,
			AttemptResult{AttemptResult: policy.AttemptResult{
				PartID: 0x166bb5d3a91c4, AttemptIndex: 1, ServerID: 0x03124a07, Status: policy.ConnectFailed,
				Elapsed: 0x4844,
			}, LoadValues: []float32{1, 2}, Final: true},
		},
		{
			"health check result", "16 78050000 f211902c 01 03 00006841 0000e040 00000c43", nil,
			HealthCheckResult{HealthCheckResult: policy.HealthCheckResult{ServerID: 0x2c9011f2, Elapsed: 0x578}, LoadValues: []float32{14.5, 7, 140}},
		},
		{
			"streaming", "13 c4913a5dbb660100 22240000 0200 074a1203", nil,
			Streaming{PartID: 0x166bb5d3a91c4, AttemptIndex: 2, ServerID: 0x03124a07},
		},
		{"message", "17 0200 00000000 04000000", []byte("hi 7"), Message{From: 2, Data: []byte("hi 7")}},
		{"start", "19 0700000000000000 00000000 03000000", []byte("a=b"), Start{Seed: 7, Settings: "a=b"}},
		{"stop", "1b", nil, Stop{}},
		{"failed list", "18 ffff 0000000000000000 03", nil, List{Mode: Failed}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			batch, err := NewDecoder(bytes.NewReader(frame(9, c.tail, selectInstance3, c.record))).Next()
			if err != nil {
				t.Fatal(err)
			}
			want := Batch{Clock: 9, Events: []Addressed{{3, c.want}}}
			if !reflect.DeepEqual(batch, want) {
				t.Fatalf("got %+v, want %+v", batch, want)
			}
		})
	}
}

// TestListNumbersAreReused guards against events that get the wrong list when a batch overwrites a list number: each event
// refers to the list received last before it, also if that was in an earlier batch.
func TestListNumbersAreReused(t *testing.T) {
	first, second := "11 0000 00000000 02000000", "11 0000 15000000 01000000"
	listChange := "18 0000 2900000000000000 01"
	in := append(frame(1, listEntries, selectInstance3, first, listChange, second, listChange), frame(2, nil, selectInstance3, listChange)...)
	d := NewDecoder(bytes.NewReader(in))
	a, err := d.Next()
	if err != nil {
		t.Fatal(err)
	}
	b, err := d.Next()
	if err != nil {
		t.Fatal(err)
	}
	for i, want := range [][]policy.Endpoint{listEndpoints, listEndpoints[1:], listEndpoints[1:]} {
		got := append(a.Events, b.Events...)[i].Value.(List)
		if !reflect.DeepEqual(got.Entries, want) || got.Version != 0x29 || got.Mode != Full {
			t.Fatalf("event %d: got %+v, want entries %+v", i, got, want)
		}
	}
	if _, err := d.Next(); !errors.Is(err, io.EOF) {
		t.Fatalf("at the end of the input: got error %v, want io.EOF", err)
	}
}

// TestApply applies a cached list, a delta that removes an endpoint, and a full list, each to the result before.
func TestApply(t *testing.T) {
	removed := listEndpoints[0]
	removed.State = policy.Removed
	current := List{Mode: Cached, Entries: []policy.Endpoint{listEndpoints[1], listEndpoints[0]}}.Apply(nil)
	if !reflect.DeepEqual(current, listEndpoints) {
		t.Fatalf("cached: %+v", current)
	}
	if current = (List{Mode: Delta, Entries: []policy.Endpoint{removed}}).Apply(current); !reflect.DeepEqual(current, listEndpoints[1:]) {
		t.Fatalf("delta: %+v", current)
	}
	if current = (List{Mode: Full, Entries: listEndpoints[:1]}).Apply(current); !reflect.DeepEqual(current, listEndpoints[:1]) {
		t.Fatalf("full: %+v", current)
	}
}

// TestMalformed guards against malformed frames that are accepted, cause a panic or are taken for the end of the input.
func TestMalformed(t *testing.T) {
	bodySizeTooLarge := frame(1, nil)
	binary.LittleEndian.PutUint32(bodySizeTooLarge[4:], math.MaxUint32)
	recordCountTooLarge := frame(1, nil)
	binary.LittleEndian.PutUint32(recordCountTooLarge[0:], math.MaxUint32)
	cases := map[string][]byte{
		"truncated header":         frame(1, nil)[:7],
		"truncated body":           frame(1, nil, selectInstance3)[:40],
		"body size too large":      bodySizeTooLarge,
		"record count too large":   recordCountTooLarge,
		"unknown event code":       frame(1, nil, selectInstance3, "63"),
		"no instance selected":     frame(1, nil, "15"),
		"unknown status code":      frame(1, nil, selectInstance3, "12 c4913a5dbb660100 0000 074a1203 09"),
		"load report too long":     frame(1, nil, selectInstance3, "16 78050000 f211902c 01 05"),
		"tail offset out of range": frame(1, []byte("abc"), selectInstance3, "19 0700000000000000 01000000 03000000"),
		"tail size overflow":       frame(1, nil, selectInstance3, "11 0000 ffffffff ffffffff"),
		"list not received":        frame(1, nil, selectInstance3, "18 0000 0000000000000000 01"),
		"list number out of range": frame(1, listEntries, selectInstance3, "11 1000 00000000 02000000"),
		"unknown list mode":        frame(1, nil, selectInstance3, "18 0000 0000000000000000 04"),
	}
	for name, in := range cases {
		if _, err := NewDecoder(bytes.NewReader(in)).Next(); !errors.Is(err, ErrFrame) {
			t.Errorf("%s: got error %v, want ErrFrame", name, err)
		}
	}
}

// TestGoldenActions guards the layout of each action on the wire: it compares the encoded actions with bytes composed by hand.
func TestGoldenActions(t *testing.T) {
	id := uint64(0x166bb5d3a91c4)
	cases := []struct {
		action any
		want   string
	}{
		{policy.SendAttempt{PartID: id, ServerID: 0x03124a07, Timeout: 80000}, "10 c4913a5dbb660100 074a1203 80380100"},
		{policy.Reject{QueryID: id, RetryAfter: 250000}, "11 c4913a5dbb660100 90d00300"},
		{policy.Fail{QueryID: id}, "12 c4913a5dbb660100"},
		{policy.CancelAttempt{PartID: id, AttemptIndex: 1}, "13 c4913a5dbb660100 0100"},
		{policy.SetTimer{Delay: 500000}, "14 20a10700"},
		{policy.HealthCheck{ServerID: 0x2c9011f2}, "15 f211902c"},
		{policy.CloseIdleConnections{ServerID: 0x2c9011f2}, "16 f211902c"},
		{SendMessage{0xffff, []byte("hi")}, "17 ffff 00000000 02000000"},
		{policy.Log{Text: "ok"}, "18 00000000 02000000"},
		{Crash{"no"}, "19 00000000 02000000"},
		{policy.PollEndpoints{}, "1a 01"},
		{Unsubscribe{}, "1a 00"},
		{RequestList{}, "1b"},
		{policy.Answer{QueryID: id, Complete: true}, "1c c4913a5dbb660100 01"},
	}
	for _, c := range cases {
		var out bytes.Buffer
		if err := WriteActions(&out, []Addressed{{3, c.action}}); err != nil {
			t.Fatal(err)
		}
		raw := unhex(c.want)
		want := append(unhex("1d 0300"), make([]byte, 21)...)
		want = append(want, append(raw, make([]byte, actionSize-len(raw))...)...)
		got := out.Bytes()
		if n := binary.LittleEndian.Uint32(got[4:]); n != 2 || !bytes.Equal(got[8:8+2*actionSize], want) ||
			int(binary.LittleEndian.Uint32(got)) != len(got)-8 {
			t.Errorf("%T: got %x, want records %x", c.action, got, want)
		}
	}
	if err := WriteActions(io.Discard, []Addressed{{1, 7}}); err == nil {
		t.Error("WriteActions accepted a value that is not an action")
	}
}

// FuzzDecoder checks that the decoder ends with io.EOF or ErrFrame for any input.
func FuzzDecoder(f *testing.F) {
	f.Add(frame(1, listEntries, selectInstance3, "11 0000 00000000 02000000", "18 0000 2900000000000000 01", "15"))
	f.Add(frame(1, []byte("a=b"), selectInstance3, "19 0700000000000000 00000000 03000000", "1b"))
	f.Add(frame(1, nil, selectInstance3)[:40])
	f.Fuzz(func(t *testing.T, in []byte) {
		d := NewDecoder(bytes.NewReader(in))
		for {
			if _, err := d.Next(); errors.Is(err, io.EOF) {
				return
			} else if err != nil {
				if !errors.Is(err, ErrFrame) {
					t.Fatalf("got error %v, want io.EOF or ErrFrame", err)
				}
				return
			}
		}
	})
}
