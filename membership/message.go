package membership

import "slices"

// MessageKind is the purpose of a message.
type MessageKind uint8

// The kinds of message. The numbers are those on the wire.
const (
	KindPing         MessageKind = iota + 1 // requests an ack
	KindAck                                 // answers a ping
	KindPingReq                             // requests an indirect probe of Target
	KindIndirectAck                         // reports that Target sent an ack to the helper
	KindNack                                // reports that Target sent no ack to the helper, or is unknown to it
	KindGossip                              // carries updates and facts only
	KindSyncRequest                         // requests the state that the sender holds differently
	KindSyncResponse                        // carries a part of the requested state
	KindLeave                               // announces the sender's planned departure
	KindNameConflict                        // reports that two processes have the name of Target
)

// Message is the content of one datagram.
type Message struct {
	Kind MessageKind
	// Sender, Generation and Incarnation identify the sender.
	Sender      ID
	Generation  uint32
	Incarnation uint32
	// MessageNumber counts the messages of the sender's generation; it reveals duplicates.
	MessageNumber uint32
	// ProbeNumber is the number of the probe that a ping, ack, ping-req, indirect ack or nack belongs to.
	ProbeNumber uint32
	// Target is the member that a probe or a name conflict is about, or the recipient of an ack.
	Target ID
	// Requester is the member on whose behalf a helper sends a ping; 0 is none.
	Requester ID
	// Digest is the hash of the sender's view.
	Digest uint32
	// ReceivedFromProber means that the sender of an ack received a message of the member that it answers.
	ReceivedFromProber bool
	// ReceivedFromRequester means that it also recently received one of the ping's Requester.
	ReceivedFromRequester bool
	// BucketDigests are the hashes of the sender's state by bucket, in a synchronization request.
	BucketDigests []uint32
	// Updates and Facts are as many as fit.
	Updates []Update
	Facts   []Fact
}

// freeBytes returns the space that is left in the datagram.
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

// messageFiller adds updates and facts to a message as long as they fit.
type messageFiller struct {
	message   *Message
	freeBytes int // bytes
}

func newMessageFiller(message *Message) messageFiller {
	return messageFiller{message: message, freeBytes: message.freeBytes()}
}

// addUpdate adds an update if it fits and none of the same member and accuser is there. It reports whether it did.
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

// addFact adds a fact if it fits, and reports whether it did.
func (f *messageFiller) addFact(fact Fact) bool {
	size := fact.encodedSize()
	if size > f.freeBytes {
		return false
	}
	f.message.Facts = append(f.message.Facts, fact)
	f.freeBytes -= size
	return true
}
