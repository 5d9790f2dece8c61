package membership

import (
	"net/netip"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const testKey = "a key of the group"

// completeMessage returns a message in which every field but BucketDigests is set.
func completeMessage() Message {
	message := Message{
		Kind:                  KindAck,
		Sender:                7,
		Generation:            1,
		Incarnation:           2,
		MessageNumber:         3,
		ProbeNumber:           4,
		Target:                5,
		Requester:             6,
		Digest:                7,
		ReceivedFromProber:    true,
		ReceivedFromRequester: true,
		Facts:                 []Fact{{Owner: 7, Name: "list", Value: "v", Version: 9, TTL: 5000}},
	}
	for i := range 4 {
		message.Updates = append(message.Updates, Update{
			ID:          ID(i + 1),
			Generation:  2,
			Incarnation: 3,
			State:       MemberState(i),
			Accuser:     9,
			Addr:        netip.MustParseAddrPort("10.0.0.1:7946"),
			Name:        "n1",
			Zone:        "petaling",
		})
	}
	return message
}

// Every field of completeMessage must survive encoding and decoding, and freeBytes must agree with the encoded size.
func TestCodecRoundTrip(t *testing.T) {
	for _, key := range []string{"", testKey} {
		codec := NewCodec("g", []byte(key))
		message := completeMessage()
		datagram := codec.AppendEncode(nil, message)
		assert.Len(t, datagram, MaxDatagramSize-message.freeBytes())
		decoded, err := codec.Decode(datagram)
		require.NoError(t, err)
		assert.Equal(t, message, decoded)
	}
}

// A datagram must be rejected if it belongs to another group, wire version or key, is damaged, or exceeds a limit.
func TestDecodeRejectsInvalidDatagrams(t *testing.T) {
	codec := NewCodec("g", []byte(testKey))
	valid := codec.AppendEncode(nil, completeMessage())
	otherVersion := slices.Clone(valid)
	otherVersion[0] = wireVersion + 1
	withUpdate := func(update Update) []byte {
		return codec.AppendEncode(nil, Message{Kind: KindPing, Sender: 1, Updates: []Update{update}})
	}
	withFact := func(fact Fact) []byte {
		return codec.AppendEncode(nil, Message{Kind: KindPing, Sender: 1, Facts: []Fact{fact}})
	}
	for name, invalid := range map[string]struct {
		datagram []byte
		err      error
	}{
		"empty":         {nil, ErrMalformed},
		"truncated":     {valid[:len(valid)-30], ErrUnauthenticated},
		"short header":  {valid[:20], ErrMalformed},
		"too long":      {append(slices.Clone(valid), make([]byte, 100)...), ErrMalformed},
		"other group":   {NewCodec("h", []byte(testKey)).AppendEncode(nil, completeMessage()), ErrOtherGroup},
		"other key":     {NewCodec("g", []byte("another key of it")).AppendEncode(nil, completeMessage()), ErrUnauthenticated},
		"no key":        {NewCodec("g", nil).AppendEncode(nil, completeMessage()), ErrUnauthenticated},
		"other version": {otherVersion, ErrUnknownVersion},
		"unknown kind":  {codec.AppendEncode(nil, Message{Kind: 200, Sender: 1}), ErrMalformed},
		"no sender":     {codec.AppendEncode(nil, Message{Kind: KindPing}), ErrMalformed},
		"name too long": {withUpdate(Update{Name: "a name that is longer than names may be"}), ErrMalformed},
		"fact too long": {withFact(Fact{Name: "a name that is too long"}), ErrMalformed},
		"unknown state": {withUpdate(Update{State: 9}), ErrMalformed},
	} {
		_, err := codec.Decode(invalid.datagram)
		require.ErrorIs(t, err, invalid.err, name)
	}
	for i := range valid {
		changed := slices.Clone(valid)
		changed[i] ^= 0x10
		_, err := codec.Decode(changed)
		require.Error(t, err, "byte %d changed", i)
	}
}

// FuzzDecode checks that Decode does not panic on arbitrary input, and that a decoded message is the same after it was
// encoded and decoded again.
func FuzzDecode(f *testing.F) {
	codec := NewCodec("g", nil)
	f.Add(codec.AppendEncode(nil, completeMessage()))
	f.Add(codec.AppendEncode(nil, Message{Kind: KindSyncRequest, Sender: 1, BucketDigests: make([]uint32, bucketCount)}))
	f.Fuzz(func(t *testing.T, datagram []byte) {
		if len(datagram) > authenticatorSize {
			// Set a valid checksum: without one, Decode would reject nearly all inputs before it reads their fields.
			body := datagram[:len(datagram)-authenticatorSize]
			datagram = slices.Concat(body, codec.authenticator(body))
		}
		message, err := codec.Decode(datagram)
		if err != nil {
			return
		}
		again, err := codec.Decode(codec.AppendEncode(nil, message))
		if err != nil {
			t.Fatal(err)
		}
		assert.Equal(t, message, again)
	})
}
