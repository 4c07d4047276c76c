package mesh

import (
	"time"

	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/targetpath"
)

const (
	// maxPaths bounds the services in the paths of a full heartbeat.
	maxPaths = 8
	// helperAge is the longest time since a router reached a target of a service for which
	// it is asked to serve requests for that service.
	helperAge = 10 * time.Second
	// freshHelperAge is the age up to which a router is preferred over others.
	freshHelperAge = 2 * time.Second
	// maxHelpers bounds the routers that one request may be offered to.
	maxHelpers = 3
)

// PathReport is what a router knows of its paths to the targets of a service.
type PathReport struct {
	_ struct{} `cbor:",toarray"`
	// ServiceHash is the hash of the service's name.
	ServiceHash uint32
	// ReachedAgeMS is the time since a target was last reached.
	ReachedAgeMS uint32
	// Lost means that no target can be reached at present.
	Lost bool
}

// helperRecord is what another router last told of its paths to a service's targets.
type helperRecord struct {
	reachedAt time.Time
	lost      bool
}

// pathReports returns this router's paths for a full heartbeat.
func (m *Mesh) pathReports(now time.Time) []PathReport {
	if m.cfg.Paths == nil {
		return nil
	}
	var list []PathReport
	for _, r := range m.cfg.Paths.Reports() {
		if len(list) < maxPaths {
			list = append(list, PathReport{ServiceHash: r.Service.Hash(), ReachedAgeMS: ageMS(r.ReachedAt, now), Lost: r.Lost})
		}
	}
	return list
}

// mergePaths records the paths of a router; m.mu must be held.
func (t *Table) mergePaths(from fleet.RouterID, list []PathReport, now time.Time) {
	m := t.members[from]
	if m == nil || len(list) == 0 {
		return
	}
	m.paths = map[uint32]helperRecord{}
	for _, r := range list[:min(len(list), maxPaths)] {
		m.paths[r.ServiceHash] = helperRecord{timeOf(r.ReachedAgeMS, now), r.Lost}
	}
}

// Helpers returns the addresses of up to maxHelpers routers that reach the targets of a
// service, as host:port of their listeners for other routers, in the order in which to ask
// them: at random, those that have reached one lately first.
func (m *Mesh) Helpers(service fleet.ServiceName) []string {
	now, hash := time.Now(), service.Hash()
	m.mu.Lock()
	defer m.mu.Unlock()
	var fresh, others []string
	for _, member := range m.table.shuffledMembers(m.random) {
		record, ok := member.paths[hash]
		age := now.Sub(record.reachedAt)
		switch {
		case !ok, record.lost, member.leaving, now.Sub(member.lastReported) >= presenceTimeout:
		case age < freshHelperAge:
			fresh = append(fresh, member.addr.String())
		case age < helperAge:
			others = append(others, member.addr.String())
		}
	}
	list := append(fresh, others...)
	return list[:min(len(list), maxHelpers)]
}

// Paths is the part of targetpath.Tracker that a Mesh uses.
type Paths interface {
	Reports() []targetpath.Report
}
