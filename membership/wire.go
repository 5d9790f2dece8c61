package membership

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"hash/fnv"
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// MaxDatagramSize is what a datagram may hold: longer ones void a run on the platform.
const MaxDatagramSize = 256

// Kind is what a message is for.
type Kind uint8

// The kinds of message.
const (
	KindPing         Kind = iota + 1 // answer me
	KindAck                          // the answer
	KindPingReq                      // ask another for me
	KindIndirectAck                  // it answered me
	KindNack                         // it did not, or is not known
	KindGossip                       // nothing but news
	KindSyncRequest                  // tell me what you hold differently
	KindSyncResponse                 // what was asked for by Sync
	KindLeave                        // the sender leaves
	KindNameConflict                 // two members have one name
	lastKind         = KindNameConflict
)

// Message is one datagram. Updates and facts are as many as there is room for.
type Message struct {
	Kind                                Kind
	Sender                              ID
	Generation, Incarnation             uint32
	MessageNumber                       uint32 // of the sender's messages in this life: a repeat shows
	ProbeNumber                         uint32 // of the question
	Target, Requester                   ID
	Digest                              uint32
	HeardFromProber, HeardFromRequester bool // the answerer had word from the asker; from the one on whose behalf it was asked
	BucketDigests                       []uint32
	Updates                             []Update
	Facts                               []Fact
}

// The form, big-endian: version, kind, flags, counts of buckets, updates and facts (a byte each); group, from, birth,
// inc, count, seq, target, about, digest (4 bytes each); buckets; updates; facts; 8 bytes that prove the rest.
const (
	form     = 1
	headSize = 6 + 9*4
	tailSize = 8
)

// ErrMalformed is behind the errors about datagrams that are not of this form; ErrForeign and ErrUnproven behind those
// of another group and those that do not prove that they come from this one.
var (
	ErrMalformed       = errors.New("malformed datagram")
	ErrOtherGroup      = errors.New("datagram of another group")
	ErrUnauthenticated = errors.New("datagram without proof of its group")
	ErrUnknownVersion  = errors.New("datagram of a form that this version does not know")
)

// Codec words messages of one group. With a key, only who knows it can word them; without, a checksum guards against
// accidents alone.
type Codec struct {
	group uint32
	key   []byte
}

// NewCodec returns the codec of a group's name and key; the latter may be empty.
func NewCodec(group string, key []byte) *Codec {
	h := fnv.New32a()
	h.Write([]byte(group))
	return &Codec{group: h.Sum32(), key: key}
}

func (c *Codec) proof(b []byte) []byte {
	if len(c.key) == 0 {
		return binary.BigEndian.AppendUint64(nil, xxhash.Sum64(b))
	}
	mac := hmac.New(sha256.New, c.key)
	mac.Write(b)
	return mac.Sum(nil)[:tailSize]
}

// size is the bytes of an update on the wire.
func (u Update) size() int { return 4 + 4 + 4 + 1 + 4 + 6 + 1 + len(u.Name) + 1 + len(u.Zone) }

func (f Fact) size() int { return 4 + 4 + 4 + 1 + len(f.Name) + 1 + len(f.Value) }

// room is how many bytes are left for news.
func (m *Message) room() int {
	n := MaxDatagramSize - headSize - tailSize - 4*len(m.BucketDigests)
	for _, u := range m.Updates {
		n -= u.size()
	}
	for _, f := range m.Facts {
		n -= f.size()
	}
	return n
}

// AppendEncode words a message. Its parts must fit: room tells.
func (c *Codec) AppendEncode(to []byte, m Message) []byte {
	start := len(to)
	flags := byte(0)
	if m.HeardFromProber {
		flags |= 1
	}
	if m.HeardFromRequester {
		flags |= 2
	}
	to = append(to, form, byte(m.Kind), flags, byte(len(m.BucketDigests)), byte(len(m.Updates)), byte(len(m.Facts)))
	for _, v := range []uint32{c.group, uint32(m.Sender), m.Generation, m.Incarnation, m.MessageNumber, m.ProbeNumber, uint32(m.Target), uint32(m.Requester), m.Digest} {
		to = binary.BigEndian.AppendUint32(to, v)
	}
	for _, v := range m.BucketDigests {
		to = binary.BigEndian.AppendUint32(to, v)
	}
	for _, u := range m.Updates {
		for _, v := range []uint32{uint32(u.ID), u.Generation, u.Incarnation, uint32(u.Accuser)} {
			to = binary.BigEndian.AppendUint32(to, v)
		}
		addr := u.Addr.Addr().Unmap()
		ip := [4]byte{}
		if addr.Is4() {
			ip = addr.As4()
		}
		to = append(append(to, byte(u.State)), ip[:]...)
		to = binary.BigEndian.AppendUint16(to, u.Addr.Port())
		to = append(append(to, byte(len(u.Name))), u.Name...)
		to = append(append(to, byte(len(u.Zone))), u.Zone...)
	}
	for _, f := range m.Facts {
		for _, v := range []uint32{uint32(f.Owner), f.Version, uint32(f.TTL / 1000)} {
			to = binary.BigEndian.AppendUint32(to, v)
		}
		to = append(append(to, byte(len(f.Name))), f.Name...)
		to = append(append(to, byte(len(f.Value))), f.Value...)
	}
	return append(to, c.proof(to[start:])...)
}

// reader takes a datagram apart. What is not there reads as zero, and bad tells.
type reader struct {
	rest []byte
	bad  bool
}

func (r *reader) take(n int) []byte {
	if n > len(r.rest) {
		r.bad, r.rest = true, nil
		return make([]byte, min(n, MaxDatagramSize))
	}
	b := r.rest[:n]
	r.rest = r.rest[n:]
	return b
}

func (r *reader) byte() byte  { return r.take(1)[0] }
func (r *reader) u32() uint32 { return binary.BigEndian.Uint32(r.take(4)) }

func (r *reader) text(most int) string {
	n := int(r.byte())
	if n > most {
		r.bad = true
		return ""
	}
	return string(r.take(n))
}

// Decode reads a datagram. Nothing of one that fails may be used.
func (c *Codec) Decode(b []byte) (Message, error) {
	switch {
	case len(b) < headSize+tailSize || len(b) > MaxDatagramSize:
		return Message{}, ErrMalformed
	case b[0] != form:
		return Message{}, ErrUnknownVersion
	case binary.BigEndian.Uint32(b[6:]) != c.group:
		return Message{}, ErrOtherGroup
	}
	body, proof := b[:len(b)-tailSize], b[len(b)-tailSize:]
	if !hmac.Equal(c.proof(body), proof) {
		return Message{}, ErrUnauthenticated
	}
	r := &reader{rest: body[1:]}
	m := Message{Kind: Kind(r.byte())}
	flags := r.byte()
	m.HeardFromProber, m.HeardFromRequester = flags&1 != 0, flags&2 != 0
	nb, nu, nf := int(r.byte()), int(r.byte()), int(r.byte())
	r.u32()
	m.Sender, m.Generation, m.Incarnation, m.MessageNumber, m.ProbeNumber = ID(r.u32()), r.u32(), r.u32(), r.u32(), r.u32()
	m.Target, m.Requester, m.Digest = ID(r.u32()), ID(r.u32()), r.u32()
	for i := 0; i < nb && !r.bad; i++ {
		m.BucketDigests = append(m.BucketDigests, r.u32())
	}
	for i := 0; i < nu && !r.bad; i++ {
		u := Update{ID: ID(r.u32()), Generation: r.u32(), Incarnation: r.u32(), Accuser: ID(r.u32()), State: MemberState(r.byte())}
		ip := [4]byte(r.take(4))
		u.Addr = netip.AddrPortFrom(netip.AddrFrom4(ip), binary.BigEndian.Uint16(r.take(2)))
		u.Name, u.Zone = r.text(MaxNameLength), r.text(MaxZoneLength)
		r.bad = r.bad || u.State > Left
		m.Updates = append(m.Updates, u)
	}
	for i := 0; i < nf && !r.bad; i++ {
		f := Fact{Owner: ID(r.u32()), Version: r.u32(), TTL: Micros(r.u32()) * 1000}
		f.Name, f.Value = r.text(MaxFactNameLength), r.text(MaxFactValueLength)
		m.Facts = append(m.Facts, f)
	}
	if r.bad || len(r.rest) > 0 || flags > 3 || m.Kind < KindPing || m.Kind > lastKind || m.Sender == 0 {
		return Message{}, ErrMalformed
	}
	return m, nil
}

// window remembers the newest 64 messages of a sender, so that each is taken once; of older ones none is.
type window struct {
	sent  uint32 // this member's own count
	top   uint32
	taken uint64
}

func (w *window) take(n uint32) bool {
	switch d := int64(n) - int64(w.top); {
	case d > 0:
		if d < 64 {
			w.taken <<= uint(d)
		} else {
			w.taken = 0
		}
		w.top, w.taken = n, w.taken|1
	case d <= -64 || w.taken&(1<<uint(-d)) != 0:
		return false
	default:
		w.taken |= 1 << uint(-d)
	}
	return true
}
