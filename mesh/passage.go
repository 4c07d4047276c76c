package mesh

import "time"

const (
	// passageLearnTime is how long a process has to have been heard before the delay of its datagrams is known.
	passageLearnTime = 5 * time.Second
	// maxClockDrift is by how much the clocks of two VMs may drift apart, as a share of the time.
	maxClockDrift = 0.001
)

// passage tells by how much the datagrams of one process are later than its fastest ones, by the clocks of both
// sides. A delay that all datagrams have is not seen.
type passage struct {
	// since is when the first datagram was received, known if there was one.
	since time.Duration
	known bool
	// least is the difference between the clocks at the fastest datagram, as of leastAt.
	least, leastAt time.Duration
}

// observe records a datagram that was sent and received at times of the two clocks, and returns by how much it is
// late, or false if that is not known yet.
func (p *passage) observe(sent, received time.Duration) (time.Duration, bool) {
	difference := received - sent
	if !p.known {
		*p = passage{since: received, known: true, least: difference, leastAt: received}
	}
	least := p.least + time.Duration(maxClockDrift*float64(received-p.leastAt))
	if difference <= least {
		p.least, p.leastAt = difference, received
		least = difference
	}
	return difference - least, received-p.since >= passageLearnTime
}
