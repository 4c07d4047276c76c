package overload

import (
	"math"
	"time"
)

const (
	// sampleTime is the time constant with which samples lose weight.
	sampleTime = 400 * time.Millisecond
	// evidenceTime is how long a rejection counts as evidence of want of room, and minRejections how many of them
	// it takes: a target may be full for a moment only.
	evidenceTime  = 10 * time.Second
	minRejections = 3
	// aimedRatio is the mean time to an answer, in objectives, at which few answers are late. Where answers take longer
	// without a queue, refusing requests makes them no sooner: then the aim is queueMargin times what the fastest
	// ones take, at most maxAimedRatio. What these take doubles in fastestDoubling unless an answer shows less.
	aimedRatio      = 0.55
	maxAimedRatio   = 1.0
	queueMargin     = 1.25
	fastestDoubling = time.Minute
	// rejectedRatio is what a rejection counts as.
	rejectedRatio = 1.5
	// maxRatio bounds the weight of one slow answer.
	maxRatio = 2.0
	// proportionalGain is the pressure per objective above aimedRatio, integralGain what it grows by in a second, or
	// falls by below.
	proportionalGain = 1.0
	integralGain     = 0.2
	// calmRatio is the mean time to an answer, in objectives, of targets without queues. Below it the pressure falls
	// calmFactor times as fast.
	calmRatio  = 0.25
	calmFactor = 2.5
	// fullOccupancy is the number of requests at a service's targets, per slot, that shows want of room, and
	// minOccupancy that below which none is refused.
	fullOccupancy = 1.0
	minOccupancy  = 0.5
	// freshTime is the time constant with which the last samples lose their part in the pressure.
	freshTime = time.Second
	// maxStep bounds the time for which one sample stands.
	maxStep = time.Second
	// maxPressure bounds the pressure.
	maxPressure = 0.8
)

// pressure estimates which share of the work sent to a service has to be refused for the rest to be on time. It is a
// proportional-integral control of the mean time to an answer.
type pressure struct {
	// ratio is the weighted mean time to an answer in objectives, weight the weight of the samples in it.
	ratio, weight float64
	sampledAt     time.Time
	integral      float64
	// active is set while there is evidence of want of room.
	active bool
	// rejections holds when the last rejections came; the oldest is overwritten first.
	rejections    [minRejections]time.Time
	nextRejection int
	// occupancy is the number of requests at the targets per slot; negative if they do not tell.
	occupancy float64
	// fastest is the lowest time to an answer, in objectives, as of fastestAt; zero if there was none.
	fastest   float64
	fastestAt time.Time
}

// aim returns the mean time to an answer to keep, in objectives.
func (p *pressure) aim() float64 {
	return min(max(aimedRatio, queueMargin*p.fastest), maxAimedRatio)
}

// recordFastest records the time to an answer for aim.
func (p *pressure) recordFastest(ratio float64, now time.Time) {
	risen := p.fastest * math.Exp2(max(now.Sub(p.fastestAt), 0).Seconds()/fastestDoubling.Seconds())
	if p.fastestAt.IsZero() || ratio < risen {
		risen = ratio
	}
	p.fastest, p.fastestAt = risen, now
}

// occupy records how many requests the targets hold per slot.
func (p *pressure) occupy(occupancy float64) {
	p.occupancy = occupancy
	p.active = p.active || occupancy >= fullOccupancy
}

// hasRoom reports whether the targets are known to have room.
func (p *pressure) hasRoom() bool {
	return p.occupancy >= 0 && p.occupancy < minOccupancy
}

// reject records that a target rejected a request because it was full.
func (p *pressure) reject(now time.Time) {
	p.rejections[p.nextRejection] = now
	p.nextRejection = (p.nextRejection + 1) % minRejections
	p.active = p.active || (!p.hasRoom() && now.Sub(p.rejections[p.nextRejection]) <= evidenceTime)
	p.sample(rejectedRatio, now)
}

// answer records the time that an answer took, in objectives.
func (p *pressure) answer(ratio float64, now time.Time) {
	ratio = min(ratio, maxRatio)
	p.recordFastest(ratio, now)
	p.sample(ratio, now)
}

func (p *pressure) sample(ratio float64, now time.Time) {
	elapsed := max(now.Sub(p.sampledAt), 0)
	if elapsed > evidenceTime {
		// What was known is of another load.
		p.weight, p.integral = 0, 0
		p.active = p.active && p.occupancy >= fullOccupancy
	}
	p.weight *= math.Exp(-elapsed.Seconds() / sampleTime.Seconds())
	p.ratio = (p.ratio*p.weight + ratio) / (p.weight + 1)
	p.weight++
	p.sampledAt = now
	if !p.active {
		return
	}
	gain := integralGain
	if p.ratio < calmRatio {
		gain *= calmFactor
	}
	p.integral += gain * (p.ratio - p.aim()) * min(elapsed, maxStep).Seconds()
	p.integral = min(max(p.integral, 0), maxPressure)
	lastRejection := p.rejections[(p.nextRejection+minRejections-1)%minRejections]
	if p.value(now) == 0 && (p.hasRoom() || now.Sub(lastRejection) > evidenceTime) {
		p.active = false
	}
}

// value returns the share of the work to refuse, from 0 to maxPressure.
func (p *pressure) value(now time.Time) float64 {
	if !p.active || p.hasRoom() || now.Sub(p.sampledAt) > evidenceTime {
		return 0
	}
	fresh := math.Exp(-max(now.Sub(p.sampledAt), 0).Seconds() / freshTime.Seconds())
	return min(max(p.integral+proportionalGain*fresh*(p.ratio-p.aim()), 0), maxPressure)
}
