package membership

import (
	"net/netip"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func fullMessage() Message {
	m := Message{
		Kind: Ack, From: 7, Birth: 1, Inc: 2, Count: 3, Seq: 4, Target: 5, About: 6, Digest: 7, Heard: true, HeardAbout: true,
		Facts: []Fact{{Owner: 7, Name: "list", Value: "v", Version: 9, Left: 5000}},
	}
	for i := range 4 {
		m.Updates = append(m.Updates, Update{
			ID: ID(i + 1), Birth: 2, Inc: 3, Standing: Standing(i), By: 9,
			Addr: netip.MustParseAddrPort("10.0.0.1:7946"), Name: "n1", Zone: "petaling",
		})
	}
	return m
}

func TestMessagesComeBackAsTheyWere(t *testing.T) {
	for _, key := range []string{"", "a key of the group"} {
		c := NewCodec("g", []byte(key))
		m := fullMessage()
		b := c.Append(nil, m)
		assert.Len(t, b, MostBytes-m.room())
		got, err := c.Read(b)
		require.NoError(t, err)
		assert.Equal(t, m, got)
	}
}

// What is not of this group, form or key, or was changed on the way, changes nothing: it is not even a message.
func TestBadDatagramsAreNoMessages(t *testing.T) {
	c := NewCodec("g", []byte("a key of the group"))
	good := c.Append(nil, fullMessage())
	later := c.Append(nil, fullMessage())
	later[0] = form + 1
	for name, bad := range map[string]struct {
		b   []byte
		err error
	}{
		"empty":        {nil, ErrMalformed},
		"cut":          {good[:len(good)-30], ErrUnproven},
		"short":        {good[:20], ErrMalformed},
		"too long":     {append(append([]byte{}, good...), make([]byte, 100)...), ErrMalformed},
		"other group":  {NewCodec("h", []byte("a key of the group")).Append(nil, fullMessage()), ErrForeign},
		"other key":    {NewCodec("g", []byte("another key of it")).Append(nil, fullMessage()), ErrUnproven},
		"no key":       {NewCodec("g", nil).Append(nil, fullMessage()), ErrUnproven},
		"a later form": {later, ErrForm},
		"unknown kind": {c.Append(nil, Message{Kind: 200, From: 1}), ErrMalformed},
		"from nobody":  {c.Append(nil, Message{Kind: Ping}), ErrMalformed},
		"long name":    {c.Append(nil, Message{Kind: Ping, From: 1, Updates: []Update{{Name: "a name that is longer than names may be"}}}), ErrMalformed},
		"long fact":    {c.Append(nil, Message{Kind: Ping, From: 1, Facts: []Fact{{Name: "a name that is too long"}}}), ErrMalformed},
		"odd standing": {c.Append(nil, Message{Kind: Ping, From: 1, Updates: []Update{{Standing: 9}}}), ErrMalformed},
	} {
		_, err := c.Read(bad.b)
		assert.ErrorIs(t, err, bad.err, name)
	}
	for i := range good {
		b := append([]byte{}, good...)
		b[i] ^= 0x10
		_, err := c.Read(b)
		assert.Error(t, err, "byte %d changed", i)
	}
}

func TestARepeatIsTakenOnce(t *testing.T) {
	var w window
	for _, c := range []struct {
		n    uint32
		want bool
	}{{1, true}, {1, false}, {3, true}, {2, true}, {2, false}, {100, true}, {36, false}, {37, true}, {37, false}, {99, true}, {200, true}, {100, false}} {
		assert.Equal(t, c.want, w.take(c.n), "message %d", c.n)
	}
}

func TestSettingsThatNobodyCanWorkWith(t *testing.T) {
	good := testConfig(1)
	require.NoError(t, good.Check())
	for name, spoil := range map[string]func(*Config){
		"name": func(c *Config) { c.Name = "" }, "address": func(c *Config) { c.Addr = netip.AddrPort{} },
		"period": func(c *Config) { c.Period = 0 }, "hold": func(c *Config) { c.Hold = c.Period - 1 },
		"budget": func(c *Config) { c.Budget = 0 }, "zone": func(c *Config) { c.Zone = "a zone with a name beyond all bounds" },
	} {
		c := good
		spoil(&c)
		assert.ErrorContains(t, c.Check(), name)
	}
}

// FuzzRead has anything read: nothing panics, and what is a message is worded as it was read.
func FuzzRead(f *testing.F) {
	c := NewCodec("g", nil)
	f.Add(c.Append(nil, fullMessage()))
	f.Add(c.Append(nil, Message{Kind: Sync, From: 1, Buckets: make([]uint32, buckets)}))
	f.Fuzz(func(t *testing.T, b []byte) {
		if len(b) > tailSize { // past the checksum, or nothing else would be found
			b = append(b[:len(b)-tailSize:len(b)-tailSize], c.proof(b[:len(b)-tailSize])...)
		}
		m, err := c.Read(b)
		if err != nil {
			return
		}
		again, err := c.Read(c.Append(nil, m))
		if err != nil {
			t.Fatal(err)
		}
		assert.Equal(t, m, again)
	})
}
