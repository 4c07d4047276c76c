package streamversion

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"ragwortpond.example/ragwortpond/event"
	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/platform"
)

const (
	// listedTime is how long after a split was last confirmed to be the newest a listed router may
	// begin streams under it. Others wait for it to tell that it knows the newer one, for that long.
	listedTime = 24 * time.Hour
	// listingDelay is how long a router has to be listed before it relies on it: a copy from
	// which the store comes back is some seconds old, and has it then.
	listingDelay = 30 * time.Second
	// listingInterval is the shortest time between two looks at which routers are to be listed.
	listingInterval = 500 * time.Millisecond
	// listingWriteInterval is the shortest time between two writes that only add or remove routers.
	listingWriteInterval = 10 * time.Second
	// lateTime is how long after a change of the split the list is written with the routers that
	// have not told to know it.
	lateTime = time.Minute
	// listingRepeat is how long a router may take to tell that it knows that it is listed.
	listingRepeat = 2 * time.Second
	// wholeRepeatTime is how long all are told again whether routers of an earlier build are known.
	wholeRepeatTime = 10 * time.Second
	// tellInterval is the shortest time between two messages to the router that writes the list, tellRepeat
	// their number after a change of the split. A router that is not listed goes on each unlistedInterval.
	tellInterval     = time.Second
	tellRepeat       = 3
	unlistedInterval = 10 * time.Second
	// listingReaders is the number of routers, by precedence, that read a new list, so that others
	// than its writer remember it when the store comes back from a copy.
	listingReaders = 3
	// membersKnownTime is how long a router has to have heard most others to know of each list that
	// a router relies on.
	membersKnownTime = 10 * time.Second
)

// listingState is what a router knows of the list of a service's routers; Service.mu guards it.
type listingState struct {
	// told is up to which split all listed routers know it; its revision is zero if that is not known.
	told Told
	// own is the listing of this process, nil if there is none, since ownAt by the boot clock.
	own   *Listing
	ownAt time.Duration
	// heard is the newest revision of the list that was heard of.
	heard uint64
	// list is the list as read or written at a revision, at readAt by the boot clock, nil if it is
	// not known. era is that of the store then.
	list     *members
	revision uint64
	readAt   time.Duration
	era      uint64
	eraSince time.Time
	// remembered is the list at a revision when the last era ended.
	remembered   *members
	rememberedAt uint64
	lookedAt     time.Time
	writtenAt    time.Time
	// reading is closed when the read in progress for streams that wait ends, asked for at askedAt; nil if
	// there is none. unlisted is set if the last read found that nobody relies on a list.
	reading  chan struct{}
	askedAt  time.Time
	unlisted bool
	retryAt  time.Time
	// tellsFor is the split that the router that writes the list was told of, tells times, last at toldWriterAt.
	tellsFor     uint64
	tells        int
	toldWriterAt time.Time
	// waitingSince is since when nobody has written the list that the store lost.
	waitingSince time.Time
	// wholeSent is the last Whole that was told to the others, since wholeAt, sentAt when each was told last.
	wholeSent bool
	wholeAt   time.Time
	sentAt    map[fleet.RouterID]time.Time
}

// learnTold records up to which split all listed routers know it.
func (l *listingState) learnTold(told Told) {
	if told.Revision > l.told.Revision {
		l.told = told
	}
}

// MergeListing records that the store lists this process.
func (s *Service) MergeListing(l Listing) {
	boot := s.cfg.BootTime()
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.services[l.Service]
	if st == nil {
		return
	}
	if st.listing.own == nil || platform.EraOf(st.listing.own.Revision) < platform.EraOf(l.Revision) {
		st.listing.ownAt = boot
	}
	if st.listing.own == nil || l.Revision > st.listing.own.Revision {
		// The writer sends it again until it has heard that it arrived.
		st.listing.tells, st.listing.toldWriterAt = min(st.listing.tells, tellRepeat-1), time.Time{}
	}
	if st.listing.own == nil || l.Revision >= st.listing.own.Revision {
		st.listing.own = &l
	}
	st.listing.heard = max(st.listing.heard, l.Revision)
	st.listing.learnTold(l.Told)
}

// ListRevision returns the newest revision of the list of a service's routers that this router
// is listed in, and the newest that it has heard of.
func (s *Service) ListRevision(service fleet.ServiceName) (listed, heard uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := &s.stateOf(service).listing
	if l.own != nil {
		listed = l.own.Revision
	}
	return listed, l.heard
}

// MergeListRevision records the newest revision of a list that another router has heard of.
func (s *Service) MergeListRevision(service fleet.ServiceName, heard uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if st := s.services[service]; st != nil {
		st.listing.heard = max(st.listing.heard, heard)
	}
}

// listed reports whether this router may begin streams of a service under the split that it knows,
// without a lease: others take that split to be in use until this process tells that it knows a newer one.
func (s *Service) listed(service fleet.ServiceName) bool {
	now := s.cfg.BootTime()
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stateOf(service)
	l := &st.listing
	if s.leaving || l.own == nil || !l.own.Whole || st.revision < max(l.own.Floor, st.newestTold) || st.missing {
		return false
	}
	if platform.EraOf(st.revision) != platform.EraOf(l.own.Revision) {
		// The list may have been lost by the store.
		return false
	}
	age := st.confirmationAge(now)
	return age != noConfirmation && age < listedTime && st.confirmedAt >= l.ownAt+listingDelay
}

// observeEra keeps the list of an era of the store that has ended.
func (s *Service) observeEra(service fleet.ServiceName) {
	era := s.cfg.Store().Era()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endListEra(s.stateOf(service), era)
}

// endListEra keeps the list of an era that has ended, if this router can tell that nobody relies on a
// newer one. s.mu must be held.
func (s *Service) endListEra(st *serviceState, era uint64) {
	l, boot := &st.listing, s.cfg.BootTime()
	if era <= l.era {
		return
	}
	connected := s.connected && boot-s.connectedSince >= membersKnownTime
	if l.list != nil && l.list.Era == l.era {
		l.remembered, l.rememberedAt = nil, l.revision
		if boot-l.readAt < listingDelay-membersKnownTime || (l.heard <= l.revision && connected) {
			l.remembered = l.list
		}
	} else if l.heard > l.rememberedAt || !connected {
		// Others may have written it again in the era that has ended.
		l.remembered = nil
	}
	l.list, l.era, l.eraSince, l.waitingSince = nil, era, s.now(), time.Time{}
}

// keepList looks after the list of a service's routers: the first router by precedence writes it.
func (s *Service) keepList(ctx context.Context, service fleet.ServiceName, now time.Time) {
	s.observeEra(service)
	if s.tellDue(service, now) {
		s.cfg.Peers().TellKnown(service)
	}
	s.mu.Lock()
	st := s.stateOf(service)
	due := st.revision > 0 && !now.Before(st.listing.retryAt) && now.Sub(st.listing.lookedAt) >= listingInterval
	if due {
		st.listing.lookedAt = now
	}
	s.mu.Unlock()
	if !due || s.storeAway(service) || now.Sub(s.started) < discoveryTime {
		return
	}
	precedence := s.cfg.Peers().ListPrecedence(service)
	if precedence >= listingReaders {
		return
	}
	list := s.currentList(ctx, service, precedence, now)
	if list == nil || !s.mayWriteList(service, list, precedence, now) {
		return
	}
	s.updateList(ctx, service, now)
}

// tellDue reports whether the router that writes the list should be told now what this one knows.
func (s *Service) tellDue(service fleet.ServiceName, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stateOf(service)
	l := &st.listing
	if l.tellsFor != st.revision {
		l.tellsFor, l.tells, l.toldWriterAt = st.revision, 0, time.Time{}
	}
	interval := tellInterval
	if l.tells >= tellRepeat {
		interval = unlistedInterval
	}
	listed := l.own != nil && platform.EraOf(l.own.Revision) == platform.EraOf(st.revision)
	if st.revision == 0 || (listed && l.tells >= tellRepeat) || now.Sub(l.toldWriterAt) < interval {
		return false
	}
	l.tells++
	l.toldWriterAt = now
	return true
}

// currentList returns the list of a service's routers, from the store if it changed; nil if it is not known.
func (s *Service) currentList(ctx context.Context, service fleet.ServiceName, precedence int, now time.Time) *members {
	s.mu.Lock()
	l := &s.stateOf(service).listing
	list := l.list
	stale := (list == nil && (precedence == 0 || l.heard > 0 || l.era > 0)) || l.heard > l.revision
	s.mu.Unlock()
	if !stale {
		return list
	}
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	list, err := s.readList(ctx, service)
	if err != nil {
		s.listFailed(service, now, err)
		return nil
	}
	return list
}

// listFailed logs a failed call to the store and puts off the next one.
func (s *Service) listFailed(service fleet.ServiceName, now time.Time, err error) {
	s.mu.Lock()
	l := &s.stateOf(service).listing
	l.retryAt, l.list = now.Add(storeBackoff), nil
	s.mu.Unlock()
	event.SplitUnread.Log(s.cfg.Log).Str("service", string(service)).Err(err).Send()
}

// mayWriteList reports whether this router may write the list: it knows the newest split, and hears most
// others. After a drill, all routers that read the list may, so that the one that remembers it does.
func (s *Service) mayWriteList(service fleet.ServiceName, list *members, precedence int, now time.Time) bool {
	if !s.leased(service) || !s.caughtUp() || s.lostByStore(service) {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stateOf(service)
	l := &st.listing
	if platform.EraOf(st.revision) != l.era || st.revision < list.Told.Revision {
		return false
	}
	if list.Era >= l.era {
		return precedence == 0
	}
	if l.waitingSince.IsZero() {
		l.waitingSince = now
	}
	wait := time.Duration(precedence) * precedenceDelay
	if l.remembered == nil {
		wait += memoryDelay
	}
	return now.Sub(l.waitingSince) >= wait
}

// updateList writes the list if it has to change, and tells the routers that do not know that they are listed.
func (s *Service) updateList(ctx context.Context, service fleet.ServiceName, now time.Time) {
	known, readers := s.cfg.Peers().Members(service)
	s.mu.Lock()
	st := s.stateOf(service)
	l, revision := &st.listing, st.revision
	lateFor := now.Sub(st.knownSince)
	// A stream that waits may have had a newer list read.
	list, at := l.list, l.revision
	remembered, era, writtenAt := l.remembered, l.era, l.writtenAt
	s.mu.Unlock()
	if list == nil {
		return
	}
	next, changed := list.inEra(era, remembered).update(known, revision, lifetimeOf(s.cfg.View(), service)+clockError, now)
	due := list.Era < era || next.Told.Revision > list.Told.Revision
	due = due || (changed && now.Sub(writtenAt) >= listingWriteInterval)
	due = due || (next.Newest > list.Newest && lateFor >= lateTime)
	if due && len(next.Processes) > 0 {
		written, err := s.writeList(ctx, service, next, at, now)
		if err != nil {
			s.listFailed(service, now, err)
			return
		}
		list, at = next, written
	}
	s.tellListed(service, list, at, known, readers, now)
}

// writeList writes a list that follows the one at a revision, and returns its own.
func (s *Service) writeList(ctx context.Context, service fleet.ServiceName, list *members, revision uint64, now time.Time) (uint64, error) {
	document, err := json.Marshal(list)
	if err != nil {
		return 0, fmt.Errorf("streamversion: encode members: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	asked := s.cfg.BootTime()
	object, err := s.cfg.Store().Put(ctx, MembersKind, platform.Object{Name: string(service), Revision: revision, Spec: document})
	if err != nil {
		return 0, fmt.Errorf("streamversion: write members: %w", err)
	}
	s.adoptList(service, list, object.Revision, asked)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stateOf(service).listing.writtenAt = now
	return object.Revision, nil
}

// readList reads the list of a service's routers; it is empty if the store holds none.
func (s *Service) readList(ctx context.Context, service fleet.ServiceName) (*members, error) {
	known, _, _ := s.known(service)
	asked, era := s.cfg.BootTime(), s.cfg.Store().Era()
	object, err := s.cfg.Store().Get(ctx, MembersKind, string(service))
	if errors.Is(err, platform.ErrNotFound) {
		list := &members{}
		// After a drill, a router that remembers a list writes it again.
		unlisted := era == 0 || s.listEraAge(service) >= membersKnownTime
		if unlisted {
			list.Told.Revision = known
		}
		s.setUnlisted(service, unlisted)
		s.adoptList(service, list, 0, asked)
		return list, nil
	}
	if err != nil {
		return nil, fmt.Errorf("streamversion: read members: %w", err)
	}
	list, err := parseMembers(object.Spec)
	if err != nil {
		return nil, err
	}
	s.setUnlisted(service, false)
	s.adoptList(service, list, object.Revision, asked)
	return list, nil
}

// setUnlisted records whether nobody relies on a list.
func (s *Service) setUnlisted(service fleet.ServiceName, unlisted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stateOf(service).listing.unlisted = unlisted
}

// listEraAge returns how long this router has known the store's era.
func (s *Service) listEraAge(service fleet.ServiceName) time.Duration {
	s.observeEra(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.now().Sub(s.stateOf(service).listing.eraSince)
}

// adoptList records the list at a revision.
func (s *Service) adoptList(service fleet.ServiceName, list *members, revision uint64, asked time.Duration) {
	era := s.cfg.Store().Era()
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stateOf(service)
	s.endListEra(st, era)
	l := &st.listing
	if revision < l.revision && l.list != nil {
		return
	}
	l.list, l.revision, l.readAt = list, revision, asked
	l.heard = max(l.heard, revision)
	if revision == 0 {
		l.heard = 0
	}
	l.learnTold(list.Told)
}

// tellListed tells routers that they are listed.
func (s *Service) tellListed(service fleet.ServiceName, list *members, revision uint64, known []Member, readers Readers, now time.Time) {
	s.mu.Lock()
	l := &s.stateOf(service).listing
	whole := readers == AllRead || (l.wholeSent && readers == SomeUnknown)
	if revision == 0 || (!whole && readers == SomeUnknown) {
		s.mu.Unlock()
		return
	}
	if l.sentAt == nil || l.wholeSent != whole {
		l.sentAt, l.wholeSent, l.wholeAt = map[fleet.RouterID]time.Time{}, whole, now
	}
	again := now.Sub(l.wholeAt) < wholeRepeatTime
	var due []Member
	for _, k := range known {
		if list.Processes[k.Router] == k.Process && !k.Ended && (again || k.Listed < revision) && now.Sub(l.sentAt[k.Router]) >= listingRepeat {
			l.sentAt[k.Router] = now
			due = append(due, k)
		}
	}
	s.mu.Unlock()
	for _, k := range due {
		s.cfg.Peers().TellListed(k, Listing{
			Service: service, Revision: revision, Floor: list.floor(k.Router), Told: list.Told, Whole: whole,
		})
	}
}

// joinListRead returns a channel that is closed once this router has asked the store up to which split all
// listed routers know it, or nil if it knows that they know the newest, or has just asked. Streams that wait share a read.
func (s *Service) joinListRead(service fleet.ServiceName) <-chan struct{} {
	if s.storeAway(service) {
		return nil
	}
	now := s.now()
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stateOf(service)
	l := &st.listing
	if l.reading != nil {
		return l.reading
	}
	if (st.revision > 0 && l.told.Revision >= st.revision) || now.Sub(l.askedAt) < settledInterval {
		return nil
	}
	done := make(chan struct{})
	l.askedAt, l.reading = now, done
	go s.askTold(service, done)
	return done
}

// askTold reads the list and closes done.
func (s *Service) askTold(service fleet.ServiceName, done chan struct{}) {
	ctx, cancel := context.WithTimeout(context.Background(), readTimeout)
	defer cancel()
	if _, err := s.readList(ctx, service); err != nil {
		event.SplitUnread.Log(s.cfg.Log).Str("service", string(service)).Err(err).Send()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stateOf(service).listing.reading = nil
	close(done)
}

// awaitList waits for a read that joinListRead has returned.
func (s *Service) awaitList(ctx context.Context, service fleet.ServiceName, done <-chan struct{}) {
	if done != nil {
		select {
		case <-done:
		case <-ctx.Done():
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stateOf(service)
	if l := &st.listing; l.unlisted && s.now().Sub(l.askedAt) < settledInterval {
		l.learnTold(Told{Revision: st.revision})
	}
}

// allTold reports whether all listed routers have known the newest split for longer than a stream lasts. s.mu
// must be held.
func (st *serviceState) allTold(lifetime time.Duration, now time.Time) bool {
	told := st.listing.told
	return told.Revision >= st.revision && now.Sub(time.UnixMilli(told.AtMS)) >= lifetime+clockError
}
