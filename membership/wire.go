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
	wireVersion       = 1
	headerSize        = 6 + 9*4
	authenticatorSize = 8
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

func (c *Codec) authenticator(b []byte) []byte {
	if len(c.key) == 0 {
		return binary.BigEndian.AppendUint64(nil, xxhash.Sum64(b))
	}
	mac := hmac.New(sha256.New, c.key)
	mac.Write(b)
	return mac.Sum(nil)[:authenticatorSize]
}

// encodedSize is the bytes of an update on the wire.
func (u Update) encodedSize() int { return 4 + 4 + 4 + 1 + 4 + 6 + 1 + len(u.Name) + 1 + len(u.Zone) }

func (f Fact) encodedSize() int { return 4 + 4 + 4 + 1 + len(f.Name) + 1 + len(f.Value) }

// freeBytes is how many bytes are left for news.
func (m *Message) freeBytes() int {
	n := MaxDatagramSize - headerSize - authenticatorSize - 4*len(m.BucketDigests)
	for _, u := range m.Updates {
		n -= u.encodedSize()
	}
	for _, f := range m.Facts {
		n -= f.encodedSize()
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
	to = append(to, wireVersion, byte(m.Kind), flags, byte(len(m.BucketDigests)), byte(len(m.Updates)), byte(len(m.Facts)))
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
	return append(to, c.authenticator(to[start:])...)
}

// decoder takes a datagram apart. What is not there reads as zero, and bad tells.
type decoder struct {
	rest      []byte
	malformed bool
}

func (r *decoder) take(n int) []byte {
	if n > len(r.rest) {
		r.malformed, r.rest = true, nil
		return make([]byte, min(n, MaxDatagramSize))
	}
	b := r.rest[:n]
	r.rest = r.rest[n:]
	return b
}

func (r *decoder) byte() byte     { return r.take(1)[0] }
func (r *decoder) uint32() uint32 { return binary.BigEndian.Uint32(r.take(4)) }

func (r *decoder) string(most int) string {
	n := int(r.byte())
	if n > most {
		r.malformed = true
		return ""
	}
	return string(r.take(n))
}

// Decode reads a datagram. Nothing of one that fails may be used.
func (c *Codec) Decode(b []byte) (Message, error) {
	switch {
	case len(b) < headerSize+authenticatorSize || len(b) > MaxDatagramSize:
		return Message{}, ErrMalformed
	case b[0] != wireVersion:
		return Message{}, ErrUnknownVersion
	case binary.BigEndian.Uint32(b[6:]) != c.group:
		return Message{}, ErrOtherGroup
	}
	body, proof := b[:len(b)-authenticatorSize], b[len(b)-authenticatorSize:]
	if !hmac.Equal(c.authenticator(body), proof) {
		return Message{}, ErrUnauthenticated
	}
	r := &decoder{rest: body[1:]}
	m := Message{Kind: Kind(r.byte())}
	flags := r.byte()
	m.HeardFromProber, m.HeardFromRequester = flags&1 != 0, flags&2 != 0
	nb, nu, nf := int(r.byte()), int(r.byte()), int(r.byte())
	r.uint32()
	m.Sender, m.Generation, m.Incarnation, m.MessageNumber, m.ProbeNumber = ID(r.uint32()), r.uint32(), r.uint32(), r.uint32(), r.uint32()
	m.Target, m.Requester, m.Digest = ID(r.uint32()), ID(r.uint32()), r.uint32()
	for i := 0; i < nb && !r.malformed; i++ {
		m.BucketDigests = append(m.BucketDigests, r.uint32())
	}
	for i := 0; i < nu && !r.malformed; i++ {
		u := Update{ID: ID(r.uint32()), Generation: r.uint32(), Incarnation: r.uint32(), Accuser: ID(r.uint32()), State: MemberState(r.byte())}
		ip := [4]byte(r.take(4))
		u.Addr = netip.AddrPortFrom(netip.AddrFrom4(ip), binary.BigEndian.Uint16(r.take(2)))
		u.Name, u.Zone = r.string(MaxNameLength), r.string(MaxZoneLength)
		r.malformed = r.malformed || u.State > Left
		m.Updates = append(m.Updates, u)
	}
	for i := 0; i < nf && !r.malformed; i++ {
		f := Fact{Owner: ID(r.uint32()), Version: r.uint32(), TTL: Micros(r.uint32()) * 1000}
		f.Name, f.Value = r.string(MaxFactNameLength), r.string(MaxFactValueLength)
		m.Facts = append(m.Facts, f)
	}
	if r.malformed || len(r.rest) > 0 || flags > 3 || m.Kind < KindPing || m.Kind > lastKind || m.Sender == 0 {
		return Message{}, ErrMalformed
	}
	return m, nil
}

// replayWindow remembers the newest 64 messages of a sender, so that each is taken once; of older ones none is.
type replayWindow struct {
	sent    uint32 // this member's own count
	highest uint32
	seen    uint64
}

func (w *replayWindow) accept(n uint32) bool {
	switch d := int64(n) - int64(w.highest); {
	case d > 0:
		if d < 64 {
			w.seen <<= uint(d)
		} else {
			w.seen = 0
		}
		w.highest, w.seen = n, w.seen|1
	case d <= -64 || w.seen&(1<<uint(-d)) != 0:
		return false
	default:
		w.seen |= 1 << uint(-d)
	}
	return true
}
