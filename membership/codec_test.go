package membership

import (
	"net/netip"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func fullMessage() Message {
	m := Message{
		Kind: KindAck, Sender: 7, Generation: 1, Incarnation: 2, MessageNumber: 3, ProbeNumber: 4, Target: 5, Requester: 6, Digest: 7, HeardFromProber: true, HeardFromRequester: true,
		Facts: []Fact{{Owner: 7, Name: "list", Value: "v", Version: 9, TTL: 5000}},
	}
	for i := range 4 {
		m.Updates = append(m.Updates, Update{
			ID: ID(i + 1), Generation: 2, Incarnation: 3, State: MemberState(i), Accuser: 9,
			Addr: netip.MustParseAddrPort("10.0.0.1:7946"), Name: "n1", Zone: "petaling",
		})
	}
	return m
}

func TestCodecRoundTrip(t *testing.T) {
	for _, key := range []string{"", "a key of the group"} {
		c := NewCodec("g", []byte(key))
		m := fullMessage()
		b := c.AppendEncode(nil, m)
		assert.Len(t, b, MaxDatagramSize-m.freeBytes())
		got, err := c.Decode(b)
		require.NoError(t, err)
		assert.Equal(t, m, got)
	}
}

// What is not of this group, form or key, or was changed on the way, changes nothing: it is not even a message.
func TestDecodeRejectsBadDatagrams(t *testing.T) {
	c := NewCodec("g", []byte("a key of the group"))
	good := c.AppendEncode(nil, fullMessage())
	later := c.AppendEncode(nil, fullMessage())
	later[0] = wireVersion + 1
	for name, bad := range map[string]struct {
		b   []byte
		err error
	}{
		"empty":        {nil, ErrMalformed},
		"cut":          {good[:len(good)-30], ErrUnauthenticated},
		"short":        {good[:20], ErrMalformed},
		"too long":     {append(append([]byte{}, good...), make([]byte, 100)...), ErrMalformed},
		"other group":  {NewCodec("h", []byte("a key of the group")).AppendEncode(nil, fullMessage()), ErrOtherGroup},
		"other key":    {NewCodec("g", []byte("another key of it")).AppendEncode(nil, fullMessage()), ErrUnauthenticated},
		"no key":       {NewCodec("g", nil).AppendEncode(nil, fullMessage()), ErrUnauthenticated},
		"a later form": {later, ErrUnknownVersion},
		"unknown kind": {c.AppendEncode(nil, Message{Kind: 200, Sender: 1}), ErrMalformed},
		"from nobody":  {c.AppendEncode(nil, Message{Kind: KindPing}), ErrMalformed},
		"long name":    {c.AppendEncode(nil, Message{Kind: KindPing, Sender: 1, Updates: []Update{{Name: "a name that is longer than names may be"}}}), ErrMalformed},
		"long fact":    {c.AppendEncode(nil, Message{Kind: KindPing, Sender: 1, Facts: []Fact{{Name: "a name that is too long"}}}), ErrMalformed},
		"odd standing": {c.AppendEncode(nil, Message{Kind: KindPing, Sender: 1, Updates: []Update{{State: 9}}}), ErrMalformed},
	} {
		_, err := c.Decode(bad.b)
		assert.ErrorIs(t, err, bad.err, name)
	}
	for i := range good {
		b := append([]byte{}, good...)
		b[i] ^= 0x10
		_, err := c.Decode(b)
		assert.Error(t, err, "byte %d changed", i)
	}
}

func TestReplayWindow(t *testing.T) {
	var w replayWindow
	for _, c := range []struct {
		n    uint32
		want bool
	}{{1, true}, {1, false}, {3, true}, {2, true}, {2, false}, {100, true}, {36, false}, {37, true}, {37, false}, {99, true}, {200, true}, {100, false}} {
		assert.Equal(t, c.want, w.accept(c.n), "message %d", c.n)
	}
}

func TestConfigValidate(t *testing.T) {
	good := testConfig(1)
	require.NoError(t, good.Validate())
	for name, spoil := range map[string]func(*Config){
		"name": func(c *Config) { c.Name = "" }, "address": func(c *Config) { c.Addr = netip.AddrPort{} },
		"period": func(c *Config) { c.ProbeInterval = 0 }, "hold": func(c *Config) { c.SuspicionTimeout = c.ProbeInterval - 1 },
		"budget": func(c *Config) { c.MaxSendRate = 0 }, "zone": func(c *Config) { c.Zone = "a zone with a name beyond all bounds" },
	} {
		c := good
		spoil(&c)
		assert.ErrorContains(t, c.Validate(), name)
	}
}

// FuzzRead has anything read: nothing panics, and what is a message is worded as it was read.
func FuzzRead(f *testing.F) {
	c := NewCodec("g", nil)
	f.Add(c.AppendEncode(nil, fullMessage()))
	f.Add(c.AppendEncode(nil, Message{Kind: KindSyncRequest, Sender: 1, BucketDigests: make([]uint32, bucketCount)}))
	f.Fuzz(func(t *testing.T, b []byte) {
		if len(b) > authenticatorSize { // past the checksum, or nothing else would be found
			b = append(b[:len(b)-authenticatorSize:len(b)-authenticatorSize], c.authenticator(b[:len(b)-authenticatorSize])...)
		}
		m, err := c.Decode(b)
		if err != nil {
			return
		}
		again, err := c.Decode(c.AppendEncode(nil, m))
		if err != nil {
			t.Fatal(err)
		}
		assert.Equal(t, m, again)
	})
}
