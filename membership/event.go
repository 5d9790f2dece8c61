package membership

import "net/netip"

// Event is an input of Group.Step: MessageReceived, PortUnreachable, PublishFact or Leave.
type Event interface{ event() }

// MessageReceived is a message that arrived and was authenticated by the codec.
type MessageReceived struct {
	From    netip.AddrPort
	Message Message
}

// PortUnreachable is an ICMP error for a datagram that was sent to Addr: no process listens there.
type PortUnreachable struct{ Addr netip.AddrPort }

// PublishFact attaches a fact to this member or replaces its value. An empty value withdraws the fact.
type PublishFact struct {
	Name  string
	Value string
	// TTL is how long the fact is valid unless it is published again.
	TTL Micros
}

// Leave announces a planned departure of this member.
type Leave struct{}

func (MessageReceived) event() {}
func (PortUnreachable) event() {}
func (PublishFact) event()     {}
func (Leave) event()           {}

// Action is an output of Group.Step for the caller to carry out: SendMessage, ViewChanged, Log or NameTaken.
type Action interface{ action() }

// SendMessage sends a message to an address.
type SendMessage struct {
	To      netip.AddrPort
	Message Message
}

// ViewChanged delivers a new view.
type ViewChanged struct{ View View }

// Log is a log message for operators.
type Log struct{ Text string }

// NameTaken reports that the live member at By owns this member's name. This member has stopped taking part.
type NameTaken struct{ OwnerAddr netip.AddrPort }

func (SendMessage) action() {}
func (ViewChanged) action() {}
func (Log) action()         {}
func (NameTaken) action()   {}
