package loadmean

import (
	"math"

	"ragwortpond.example/ragwortpond/fleet"
)

// Kind tells the messages apart.
type Kind uint8

// The kinds of message.
const (
	// KindReport goes from a router to its domain's aggregator.
	KindReport Kind = iota + 1
	// KindDomain goes from one domain's aggregator to another's.
	KindDomain
	// KindOthers answers a reporter.
	KindOthers
)

// Item is one quantity in hundredths. Domain values are set in KindOthers only.
type Item struct {
	_            struct{} `cbor:",toarray"`
	Key          Key
	Amount       int64
	Weight       int64
	DomainAmount int64
	DomainWeight int64
}

// Datagram is the payload of peer.MethodLoad.
type Datagram struct {
	_    struct{} `cbor:",toarray"`
	Kind Kind
	// Seq grows with each datagram of a sender. It starts at the time in seconds,
	// so a router that restarts is ignored until what it sent before expires, at
	// the most.
	Seq   uint64
	Items []Item
}

// Message is a datagram to send.
type Message struct {
	To       fleet.RouterID
	Addr     string
	Datagram Datagram
}

func (m *Message) size() float64 {
	n := messageBytes
	for _, item := range m.Datagram.Items {
		n += itemBytes + len(item.Key)
	}
	return float64(n)
}

// units is a Sum in hundredths.
type units struct {
	amount int64
	weight int64
}

func unitsOf(s Sum) units {
	return units{int64(math.Round(s.Amount * scale)), int64(math.Round(s.Weight * scale))}
}

func (u units) sum() Sum {
	return Sum{Amount: float64(u.amount) / scale, Weight: float64(u.weight) / scale}
}

func (u units) plus(v units) units {
	return units{u.amount + v.amount, u.weight + v.weight}
}

func (u units) minus(v units) units {
	return units{u.amount - v.amount, u.weight - v.weight}
}

// differs reports whether a load's change from v is worth a message: any change
// of the targets' weight, and a share of the amount.
func (u units) differs(v units) bool {
	return u.weight != v.weight || moved(float64(u.amount), float64(v.amount), changeShare)
}

// surges reports whether a load's change from v is worth a message at once.
func (u units) surges(v units) bool {
	return moved(float64(u.amount), float64(v.amount), surgeShare)
}

// differsAsDemand reports whether a demand's change from v is worth a message:
// a share of its rate or of its requests in flight.
func (u units) differsAsDemand(v units) bool {
	return moved(float64(u.amount), float64(v.amount), demandShare) ||
		moved(float64(u.weight), float64(v.weight), demandShare)
}

// moved reports whether two values differ by at least a share of the larger.
func moved(a, b, share float64) bool {
	change := math.Abs(a - b)
	return change > 0 && change >= share*max(a, b)
}
