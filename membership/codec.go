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

// MaxDatagramSize is the maximum size of a datagram in bytes. The platform on which instances run permits no longer
// ones.
const MaxDatagramSize = 256

// The wire format, in big-endian byte order: wire version, kind, flags, and the counts of bucket digests, updates and
// facts (1 byte each); group, sender, generation, incarnation, message number, probe number, target, requester and
// digest (4 bytes each); bucket digests (4 bytes each); updates; facts; the authenticator of all preceding bytes (8
// bytes).
//   - An update: ID, generation, incarnation and accuser (4 bytes each); state (1 byte); IPv4 address (4 bytes; 0.0.0.0
//     in place of any other address) and port (2 bytes); name; zone.
//   - A fact: owner, version, TTL in milliseconds (4 bytes each); name; value.
//   - A string: its length in bytes (1 byte); its bytes.
const (
	wireVersion       = 1
	uint32Size        = 4
	groupOffset       = 6 // offset of the group's hash in the datagram
	headerSize        = groupOffset + 9*uint32Size
	authenticatorSize = 8
	ipv4Size          = 4
	portSize          = 2

	flagReceivedFromProber    = 1 << 0
	flagReceivedFromRequester = 1 << 1
	allFlags                  = flagReceivedFromProber | flagReceivedFromRequester

	maxMessageKind = KindNameConflict
)

// The errors that Decode returns.
var (
	// ErrMalformed means that a datagram does not have the wire format.
	ErrMalformed = errors.New("malformed datagram")
	// ErrOtherGroup means that a datagram was sent by a member of another group.
	ErrOtherGroup = errors.New("datagram of another group")
	// ErrUnauthenticated means that the authenticator of a datagram is wrong.
	ErrUnauthenticated = errors.New("datagram with a wrong authenticator")
	// ErrUnknownVersion means that a datagram has another version of the wire format.
	ErrUnknownVersion = errors.New("datagram of an unknown wire version")
)

// Codec encodes and decodes the messages of one group. With a key, an HMAC authenticates the messages; without one, a
// checksum only detects accidental changes.
type Codec struct {
	group uint32
	key   []byte
}

// NewCodec returns a codec for the group with the given name and key. The key may be empty.
func NewCodec(group string, key []byte) *Codec {
	h := fnv.New32a()
	h.Write([]byte(group)) // never fails
	return &Codec{group: h.Sum32(), key: key}
}

// authenticator returns the truncated HMAC, or the checksum, of an encoded message.
func (c *Codec) authenticator(encoded []byte) []byte {
	if len(c.key) == 0 {
		return binary.BigEndian.AppendUint64(nil, xxhash.Sum64(encoded))
	}
	mac := hmac.New(sha256.New, c.key)
	mac.Write(encoded) // never fails
	return mac.Sum(nil)[:authenticatorSize]
}

// encodedSize returns the size of the encoded update in bytes.
func (u Update) encodedSize() int {
	const numbers = 4 * uint32Size // ID, generation, incarnation, accuser
	const state = 1
	const addr = ipv4Size + portSize
	return numbers + state + addr + stringSize(u.Name) + stringSize(u.Zone)
}

// encodedSize returns the size of the encoded fact in bytes.
func (f Fact) encodedSize() int {
	const numbers = 3 * uint32Size // owner, version, TTL
	return numbers + stringSize(f.Name) + stringSize(f.Value)
}

// stringSize returns the size of an encoded string in bytes. Its length precedes it as one byte.
func stringSize(s string) int { return 1 + len(s) }

// AppendEncode appends the encoded message to a buffer and returns the extended buffer. The message must fit into a
// datagram.
func (c *Codec) AppendEncode(buffer []byte, message Message) []byte {
	start := len(buffer)
	buffer = c.appendHeader(buffer, message)
	buffer = appendUint32s(buffer, message.BucketDigests...)
	for _, update := range message.Updates {
		buffer = appendUpdate(buffer, update)
	}
	for _, fact := range message.Facts {
		buffer = appendFact(buffer, fact)
	}
	return append(buffer, c.authenticator(buffer[start:])...)
}

func (c *Codec) appendHeader(buffer []byte, message Message) []byte {
	flags := byte(0)
	if message.ReceivedFromProber {
		flags |= flagReceivedFromProber
	}
	if message.ReceivedFromRequester {
		flags |= flagReceivedFromRequester
	}
	buffer = append(
		buffer,
		wireVersion,
		byte(message.Kind),
		flags,
		byte(len(message.BucketDigests)),
		byte(len(message.Updates)),
		byte(len(message.Facts)),
	)
	return appendUint32s(
		buffer,
		c.group,
		uint32(message.Sender),
		message.Generation,
		message.Incarnation,
		message.MessageNumber,
		message.ProbeNumber,
		uint32(message.Target),
		uint32(message.Requester),
		message.Digest,
	)
}

func appendUpdate(buffer []byte, update Update) []byte {
	buffer = appendUint32s(buffer, uint32(update.ID), update.Generation, update.Incarnation, uint32(update.Accuser))
	buffer = append(buffer, byte(update.State))
	ip := [ipv4Size]byte{}
	if addr := update.Addr.Addr().Unmap(); addr.Is4() {
		ip = addr.As4()
	}
	buffer = append(buffer, ip[:]...)
	buffer = binary.BigEndian.AppendUint16(buffer, update.Addr.Port())
	buffer = appendString(buffer, update.Name)
	return appendString(buffer, update.Zone)
}

func appendFact(buffer []byte, fact Fact) []byte {
	buffer = appendUint32s(buffer, uint32(fact.Owner), fact.Version, uint32(fact.TTL/microsPerMilli))
	buffer = appendString(buffer, fact.Name)
	return appendString(buffer, fact.Value)
}

func appendUint32s(buffer []byte, values ...uint32) []byte {
	for _, value := range values {
		buffer = binary.BigEndian.AppendUint32(buffer, value)
	}
	return buffer
}

func appendString(buffer []byte, s string) []byte {
	buffer = append(buffer, byte(len(s)))
	return append(buffer, s...)
}

// Decode authenticates and decodes a datagram. If the datagram is not a valid message of the group, Decode returns
// ErrMalformed, ErrOtherGroup, ErrUnauthenticated or ErrUnknownVersion, and the datagram must be dropped.
func (c *Codec) Decode(datagram []byte) (Message, error) {
	switch {
	case len(datagram) < headerSize+authenticatorSize || len(datagram) > MaxDatagramSize:
		return Message{}, ErrMalformed
	case datagram[0] != wireVersion:
		return Message{}, ErrUnknownVersion
	case binary.BigEndian.Uint32(datagram[groupOffset:]) != c.group:
		return Message{}, ErrOtherGroup
	}
	body := datagram[:len(datagram)-authenticatorSize]
	authenticator := datagram[len(datagram)-authenticatorSize:]
	if !hmac.Equal(c.authenticator(body), authenticator) {
		return Message{}, ErrUnauthenticated
	}
	d := &decoder{rest: body[1:]}
	message := d.message()
	if d.malformed || len(d.rest) > 0 {
		return Message{}, ErrMalformed
	}
	return message, nil
}

// decoder reads the fields of a datagram. Reading past the end returns zeros and sets malformed.
type decoder struct {
	rest      []byte
	malformed bool
}

// message reads a message from the byte after the wire version.
func (d *decoder) message() Message {
	message := Message{Kind: MessageKind(d.byte())}
	flags := d.byte()
	message.ReceivedFromProber = flags&flagReceivedFromProber != 0
	message.ReceivedFromRequester = flags&flagReceivedFromRequester != 0
	bucketDigests := int(d.byte())
	updates := int(d.byte())
	facts := int(d.byte())
	d.uint32() // the group, which Decode has checked
	message.Sender = ID(d.uint32())
	message.Generation = d.uint32()
	message.Incarnation = d.uint32()
	message.MessageNumber = d.uint32()
	message.ProbeNumber = d.uint32()
	message.Target = ID(d.uint32())
	message.Requester = ID(d.uint32())
	message.Digest = d.uint32()
	if flags > allFlags || message.Kind < KindPing || message.Kind > maxMessageKind || message.Sender == 0 {
		d.malformed = true
	}
	for i := 0; i < bucketDigests && !d.malformed; i++ {
		message.BucketDigests = append(message.BucketDigests, d.uint32())
	}
	for i := 0; i < updates && !d.malformed; i++ {
		message.Updates = append(message.Updates, d.update())
	}
	for i := 0; i < facts && !d.malformed; i++ {
		message.Facts = append(message.Facts, d.fact())
	}
	return message
}

func (d *decoder) update() Update {
	update := Update{
		ID:          ID(d.uint32()),
		Generation:  d.uint32(),
		Incarnation: d.uint32(),
		Accuser:     ID(d.uint32()),
		State:       MemberState(d.byte()),
	}
	ip := [ipv4Size]byte(d.take(ipv4Size))
	port := binary.BigEndian.Uint16(d.take(portSize))
	update.Addr = netip.AddrPortFrom(netip.AddrFrom4(ip), port)
	update.Name = d.string(MaxNameLength)
	update.Zone = d.string(MaxZoneLength)
	if update.State > StateLeft {
		d.malformed = true
	}
	return update
}

func (d *decoder) fact() Fact {
	return Fact{
		Owner:   ID(d.uint32()),
		Version: d.uint32(),
		TTL:     Micros(d.uint32()) * microsPerMilli,
		Name:    d.string(MaxFactNameLength),
		Value:   d.string(MaxFactValueLength),
	}
}

// take returns the next bytes of the datagram.
func (d *decoder) take(size int) []byte {
	if size > len(d.rest) {
		d.malformed = true
		d.rest = nil
		return make([]byte, min(size, MaxDatagramSize))
	}
	taken := d.rest[:size]
	d.rest = d.rest[size:]
	return taken
}

func (d *decoder) byte() byte { return d.take(1)[0] }

func (d *decoder) uint32() uint32 { return binary.BigEndian.Uint32(d.take(uint32Size)) }

// string reads a string. A length above the maximum sets malformed.
func (d *decoder) string(maxLength int) string {
	length := int(d.byte())
	if length > maxLength {
		d.malformed = true
		return ""
	}
	return string(d.take(length))
}
