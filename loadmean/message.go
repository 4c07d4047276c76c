package loadmean

import (
	"math"

	"ragwortpond.example/ragwortpond/fleet"
)

// Kind is the type of a message.
type Kind uint8

// The message kinds.
const (
	// KindReport is sent by a router to the aggregator of its domain.
	KindReport Kind = iota + 1
	// KindDomainSum is sent by the aggregator of one domain to that of another.
	KindDomainSum
	// KindPeerSums is the aggregator's answer to a reporter.
	KindPeerSums
)

// Item is the value of one quantity in hundredths. DomainAmount and
// DomainWeight are set only in KindPeerSums messages.
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
	// Seq increases with each datagram of a sender and starts at the Unix time
	// in seconds. A restarted router may start below its previous number. Its
	// datagrams are then ignored until, at the latest, its earlier values have
	// expired.
	Seq   uint64
	Items []Item
}

// Message is a datagram to be sent and its destination.
type Message struct {
	To       fleet.RouterID
	Addr     string
	Datagram Datagram
}

func (m *Message) size() float64 {
	n := messageOverheadBytes
	for _, item := range m.Datagram.Items {
		n += itemOverheadBytes + len(item.Key)
	}
	return float64(n)
}

// fixedSum is a Sum in hundredths.
type fixedSum struct {
	amount int64
	weight int64
}

func newFixedSum(s Sum) fixedSum {
	return fixedSum{int64(math.Round(s.Amount * fixedScale)), int64(math.Round(s.Weight * fixedScale))}
}

func (s fixedSum) toSum() Sum {
	return Sum{Amount: float64(s.amount) / fixedScale, Weight: float64(s.weight) / fixedScale}
}

func (s fixedSum) add(v fixedSum) fixedSum {
	return fixedSum{s.amount + v.amount, s.weight + v.weight}
}

func (s fixedSum) sub(v fixedSum) fixedSum {
	return fixedSum{s.amount - v.amount, s.weight - v.weight}
}

// loadChanged reports whether a load's change from v is sent before the next
// refresh: any change of the targets' weight, or a relative change of the
// amount by at least loadChangeShare.
func (s fixedSum) loadChanged(v fixedSum) bool {
	return s.weight != v.weight || changedBy(float64(s.amount), float64(v.amount), loadChangeShare)
}

// loadSurged reports whether a load's change from v is sent after
// surgeInterval.
func (s fixedSum) loadSurged(v fixedSum) bool {
	return changedBy(float64(s.amount), float64(v.amount), loadSurgeShare)
}

// demandChanged reports whether a demand's change from v is sent before the
// next refresh: a relative change of its rate or of its requests in flight by
// at least demandChangeShare.
func (s fixedSum) demandChanged(v fixedSum) bool {
	return changedBy(float64(s.amount), float64(v.amount), demandChangeShare) ||
		changedBy(float64(s.weight), float64(v.weight), demandChangeShare)
}

// changedBy reports whether two values differ by at least the given share of
// the larger one.
func changedBy(a, b, share float64) bool {
	change := math.Abs(a - b)
	return change > 0 && change >= share*max(a, b)
}
