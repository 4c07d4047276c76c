package mesh

const (
	// paceUnit is the value of a pace of 1 in heartbeats.
	paceUnit = 100
	// maxPace is the largest pace that is sent or used.
	maxPace = 100
)

// pacesOf returns the paces of the targets in loads, or nil if none is told; m.mu must be held.
func (m *Mesh) pacesOf(loads []LoadReport) []uint16 {
	var paces []uint16
	for i, l := range loads {
		pace := m.loads[m.targetsByHash[l.TargetHash]].pace
		if pace == 0 {
			continue
		}
		if paces == nil {
			paces = make([]uint16, len(loads))
		}
		paces[i] = uint16(min(max(pace, 1./paceUnit), maxPace) * paceUnit)
	}
	return paces
}

// pace returns the pace of the target in a heartbeat's load report with an index, or zero if the
// heartbeat does not tell it or it is out of range.
func (hb *Heartbeat) pace(i int) float64 {
	if i >= len(hb.Paces) || hb.Paces[i] > maxPace*paceUnit {
		return 0
	}
	return float64(hb.Paces[i]) / paceUnit
}
