package streamversion

import (
	"cmp"
	"slices"
	"time"

	"ragwortpond.example/ragwortpond/catalog"
	"ragwortpond.example/ragwortpond/fleet"
)

// targetVersions holds the versions of a service's targets in one view.
type targetVersions struct {
	view *catalog.View
	// all holds the versions of all targets, serving the versions of the targets that accept requests, split a split in
	// proportion to these.
	all     []fleet.SoftwareVersion
	serving []fleet.SoftwareVersion
	split   Split
	// sole is the only version, those of leaving and evacuated targets included; empty if there are
	// several, or no target.
	sole fleet.SoftwareVersion
}

func newTargetVersions(view *catalog.View, service fleet.ServiceName) targetVersions {
	serving := view.Targets[service]
	all := slices.Concat(distinctVersions(serving), distinctVersions(view.Leaving[service]), distinctVersions(view.Evacuated[service]))
	slices.Sort(all)
	v := targetVersions{view: view, all: slices.Compact(all), serving: distinctVersions(serving), split: ByTargets(serving)}
	if len(v.all) == 1 {
		v.sole = v.all[0]
	}
	return v
}

// beginDelay is how long the first target of a version has to be known before streams begin at it. Routers that have
// not heard of it rely on the only version that they know for maxTargetsAge at most.
const beginDelay = maxTargetsAge + checkInterval

// observeVersions records since when the versions of targets have been known without a pause.
func (st *serviceState) observeVersions(versions []fleet.SoftwareVersion, now time.Time) {
	before := st.versionsSince
	st.versionsSince = make(map[fleet.SoftwareVersion]time.Time, len(versions))
	for _, version := range versions {
		since, ok := before[version]
		if !ok {
			since = now
		}
		st.versionsSince[version] = since
	}
}

// mayBegin reports whether new streams may begin at a version: it is part of the newest known split, or was known for
// beginDelay. Without a target of the split no router can resume a stream at its versions.
func (st *serviceState) mayBegin(version fleet.SoftwareVersion, now time.Time) bool {
	inService := func(share Share) bool { return slices.Contains(st.targets.all, share.Version) }
	if st.split.has(version) || !slices.ContainsFunc(st.split, inService) {
		return true
	}
	since, ok := st.versionsSince[version]
	return ok && now.Sub(since) >= beginDelay
}

// beginTargets returns the versions of targets without those at which no stream may begin yet.
func (s *Service) beginTargets(service fleet.ServiceName, targets targetVersions) targetVersions {
	now := s.now()
	s.mu.Lock()
	st := s.stateOf(service)
	isNew := func(version fleet.SoftwareVersion) bool { return !st.mayBegin(version, now) }
	serving := slices.DeleteFunc(slices.Clone(targets.serving), isNew)
	s.mu.Unlock()
	if len(serving) == len(targets.serving) {
		return targets
	}
	list := slices.DeleteFunc(slices.Clone(targets.view.Targets[service]), func(t *catalog.Target) bool { return !slices.Contains(serving, t.Version) })
	targets.serving, targets.split = serving, ByTargets(list)
	return targets
}

// distinctVersions returns the versions of targets, sorted.
func distinctVersions(targets []*catalog.Target) []fleet.SoftwareVersion {
	var list []fleet.SoftwareVersion
	for _, t := range targets {
		if !slices.Contains(list, t.Version) {
			list = append(list, t.Version)
		}
	}
	slices.Sort(list)
	return list
}

// minTargets is the number of targets from which on a version receives new streams while
// another version has as many. A stream at the only target of its version cannot go on when
// that target breaks it off.
const minTargets = 2

// ByTargets returns the split in proportion to the slots of the targets of each version.
func ByTargets(targets []*catalog.Target) Split {
	slots, counts := map[fleet.SoftwareVersion]int{}, map[fleet.SoftwareVersion]int{}
	most := 0
	for _, t := range targets {
		slots[t.Version] += max(t.Slots, 1)
		counts[t.Version]++
		most = max(most, counts[t.Version])
	}
	split := Split{}
	for version, weight := range slots {
		if most < minTargets || counts[version] >= minTargets {
			split = append(split, Share{version, uint32(weight)})
		}
	}
	slices.SortFunc(split, func(a, b Share) int { return cmp.Compare(a.Version, b.Version) })
	return split
}
