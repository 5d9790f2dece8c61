package membership

import "slices"

// MessageKind identifies the purpose of a message.
type MessageKind uint8

// The kinds of messages. Their values are part of the wire format.
const (
	KindPing         MessageKind = iota + 1 // requests an ack
	KindAck                                 // answers a ping
	KindPingReq                             // requests an indirect probe of Target
	KindIndirectAck                         // reports that the helper received an ack from Target
	KindNack                                // reports that the helper received no ack from Target or cannot probe it
	KindGossip                              // carries updates and facts only
	KindSyncRequest                         // requests the state that differs from the sender's
	KindSyncResponse                        // carries a part of the requested state
	KindLeave                               // announces that the sender leaves the group
	KindNameConflict                        // reports that two processes use the name of Target
)

// Message is the content of one datagram.
type Message struct {
	Kind MessageKind
	// Sender, Generation and Incarnation identify the sender.
	Sender      ID
	Generation  uint32
	Incarnation uint32
	// MessageNumber is the sequence number of the message within the sender's generation, for the detection of
	// duplicates.
	MessageNumber uint32
	// ProbeNumber identifies the probe that a ping, ack, ping-req, indirect ack or nack belongs to.
	ProbeNumber uint32
	// Target is the member that is probed or whose name is in conflict. It is not used in an ack. In a ping, 0 stands
	// for the recipient.
	Target ID
	// Requester is the member on whose behalf a helper sends a ping; 0 if there is none.
	Requester ID
	// Digest is the digest of the sender's view; see View.Digest.
	Digest uint32
	// ReceivedFromProber reports, in an ack or an indirect ack, that the target receives messages from the prober.
	ReceivedFromProber bool
	// ReceivedFromRequester reports, in an ack, that its sender recently received a message from the ping's Requester.
	ReceivedFromRequester bool
	// BucketDigests holds the digest of the sender's state for each bucket, in a synchronization request.
	BucketDigests []uint32
	// Updates and Facts are piggybacked on the message as far as they fit into the datagram.
	Updates []Update
	Facts   []Fact
}

// freeBytes returns the number of bytes that are free in the datagram.
func (m *Message) freeBytes() int {
	free := MaxDatagramSize - headerSize - authenticatorSize - uint32Size*len(m.BucketDigests)
	for _, update := range m.Updates {
		free -= update.encodedSize()
	}
	for _, fact := range m.Facts {
		free -= fact.encodedSize()
	}
	return free
}

// isEmpty reports whether the message carries neither updates nor facts.
func (m *Message) isEmpty() bool { return len(m.Updates) == 0 && len(m.Facts) == 0 }

// messageFiller adds updates and facts to a message as long as they fit. It keeps a running count of the free bytes.
type messageFiller struct {
	message   *Message
	freeBytes int
}

func newMessageFiller(message *Message) messageFiller {
	return messageFiller{message: message, freeBytes: message.freeBytes()}
}

// addUpdate adds an update if it fits and the message has none with the same member and accuser. It reports whether the
// update was added.
func (f *messageFiller) addUpdate(update Update) bool {
	size := update.encodedSize()
	if size > f.freeBytes {
		return false
	}
	duplicate := slices.ContainsFunc(f.message.Updates, func(other Update) bool {
		return other.ID == update.ID && other.Accuser == update.Accuser
	})
	if duplicate {
		return false
	}
	f.message.Updates = append(f.message.Updates, update)
	f.freeBytes -= size
	return true
}

// addFact adds a fact if it fits and reports whether it was added.
func (f *messageFiller) addFact(fact Fact) bool {
	size := fact.encodedSize()
	if size > f.freeBytes {
		return false
	}
	f.message.Facts = append(f.message.Facts, fact)
	f.freeBytes -= size
	return true
}
