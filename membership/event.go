package membership

import "net/netip"

// Event is an input of Group.Step: MessageReceived, PortUnreachable, PublishFact or Leave.
type Event interface{ event() }

// MessageReceived is a message that arrived. The codec has authenticated it.
type MessageReceived struct {
	From    netip.AddrPort
	Message Message
}

// PortUnreachable is an ICMP port unreachable error for a datagram that was sent to Addr: no process listens there.
type PortUnreachable struct{ Addr netip.AddrPort }

// PublishFact publishes a fact of this member or replaces its value. An empty value withdraws the fact.
type PublishFact struct {
	Name  string
	Value string
	// TTL is the time after which the fact expires unless it is published again. It is shortened to Config.TombstoneTTL,
	// which must not be longer than that of the other members: they ignore a fact with a longer TTL than theirs.
	TTL Micros
}

// Leave announces to the group that this member leaves it.
type Leave struct{}

func (MessageReceived) event() {}
func (PortUnreachable) event() {}
func (PublishFact) event()     {}
func (Leave) event()           {}

// Action is an output of Group.Step for the caller to carry out: SendMessage, ViewChanged, Log or NameTaken.
type Action interface{ action() }

// SendMessage requests that a message be sent to an address.
type SendMessage struct {
	To      netip.AddrPort
	Message Message
}

// ViewChanged delivers a new view.
type ViewChanged struct{ View View }

// Log is a message for the log.
type Log struct{ Text string }

// NameTaken reports that the member at OwnerAddr owns this member's name. This member has stopped: further calls of
// Group.Step have no effect.
type NameTaken struct{ OwnerAddr netip.AddrPort }

func (SendMessage) action() {}
func (ViewChanged) action() {}
func (Log) action()         {}
func (NameTaken) action()   {}
