package edge

import (
	"strconv"
	"time"

	"github.com/chervilhaven/chervilhaven/internal/catalog"
)

// Bounds of reading the platform's store.
const (
	// readerCount is the number of instances that read the store: the others
	// depend on both of them failing in the same second.
	readerCount = 2
	// longPollWait is the time that the store may hold a read open. A silent
	// connection shows after it, within the tightest bound of 3 s.
	longPollWait = time.Second
	// readGrace is the time past readWait after which a read has failed: a
	// hundred round trips.
	readGrace = 400 * time.Millisecond
	// fullReadTimeout bounds each page of the first read of everything: 1 MB at
	// 20 Mbit/s with time to decode it; it doubles with each failure up to
	// maxWholeTimeout, as the store or the link may be slow.
	fullReadTimeout    = 600 * time.Millisecond
	maxFullReadTimeout = 4 * fullReadTimeout
	// minReadInterval spaces the reads of a reader while changes come quickly: each
	// read is priced, and the tightest bound is 3 s.
	minReadInterval = 250 * time.Millisecond
	// readerStagger is the time by which each instance waits for a better
	// ranked one to read.
	readerStagger = 100 * time.Millisecond
	// maxStaggeredReaders bounds the instances that are waited for.
	maxStaggeredReaders = 10
	// minReadBackoff and maxReadBackoff bound the time between failed reads.
	minReadBackoff = 200 * time.Millisecond
	maxReadBackoff = time.Second
	// fetchDelay is the time for which news that others have may be on their way.
	fetchDelay = 60 * time.Millisecond
	// fetchTimeout bounds one fetch from a peer.
	fetchTimeout = 800 * time.Millisecond
	// remoteFetchDelay is the time that instances wait for a better ranked one of
	// their data centre to fetch from another: a fetch over a link of 10 Mbit/s.
	remoteFetchDelay = 80 * time.Millisecond
	// maxDatagramItems bounds the changes that go out in one datagram; more are
	// fetched.
	maxDatagramItems = 24
	// fleetSizeWindow is the time for which a silent instance counts in the size of
	// the fleet.
	fleetSizeWindow = 10 * time.Second
)

// reader is the state of reading the store and fetching from peers.
type reader struct {
	reading bool
	// readsStore is true while the last read succeeded.
	readsStore bool
	// heard is the time of the last answer of the store.
	heard time.Time
	// next is the time of the next read, or of the next look whether to read.
	next    time.Time
	backoff time.Duration
	// failures counts the failed reads in a row.
	failures int
	// fullReadNeeded asks for everything at the next read.
	fullReadNeeded bool
	// shortageSince is the time since which too few others read.
	shortageSince time.Time
	fetching      bool
	// maxRevision is the highest revision that any peer was complete up to.
	maxRevision catalog.Revision
	// behindSince is the time since which a peer is known to have more.
	behindSince time.Time
	// nextFetch is the earliest time of the next fetch.
	nextFetch time.Time
}

// readIfDue starts the next read where this instance has to read the store.
func (e *Edge) readIfDue(now time.Time) {
	r := &e.reader
	if r.reading || now.Before(r.next) {
		return
	}
	if !e.shouldRead(now) {
		r.readsStore = false
		r.next = now.Add(readerStagger)
		return
	}
	since := e.catalog.Through()
	if r.fullReadNeeded || since == 0 {
		r.reading = true
		e.emit(Effect{Kind: Read, Timeout: min(fullReadTimeout<<min(r.failures, 2), maxFullReadTimeout)})
		return
	}
	r.reading = true
	e.emit(Effect{Kind: Read, Since: since, Wait: longPollWait, Timeout: longPollWait + readGrace})
}

// shouldRead tells whether fewer than the wanted number of better ranked
// instances read the store. Those that come first get some time to start.
func (e *Edge) shouldRead(now time.Time) bool {
	r := &e.reader
	if e.catalog.Through() == 0 {
		return true
	}
	active, idle := e.otherReaders(now)
	switch {
	case active >= readerCount, e.stopping && active > 0:
		r.shortageSince = time.Time{}
		return false
	case r.readsStore, active+idle < readerCount:
		return true
	case r.shortageSince.IsZero():
		r.shortageSince = now
	}
	return now.Sub(r.shortageSince) >= time.Duration(min(idle, maxStaggeredReaders))*readerStagger
}

// otherReaders counts the live peers that read the store and go before this
// instance, and the better ranked ones that do not read.
func (e *Edge) otherReaders(now time.Time) (active, idle int) {
	self := rankOf(e.config.Self, "", 0)
	for _, p := range e.roster.peers {
		switch {
		case p.leaving || !e.roster.live(now, p):
		case p.readsStore && (p.rank > self || !e.reader.readsStore):
			active++
		case !p.readsStore && p.rank > self:
			idle++
		}
	}
	return active, idle
}

// catalogFresh tells whether this instance or one that it hears reads the store.
func (e *Edge) catalogFresh(now time.Time) bool {
	if e.reader.readsStore {
		return true
	}
	for _, p := range e.roster.peers {
		if p.readsStore && e.roster.live(now, p) {
			return true
		}
	}
	return false
}

// NewsAge returns the time since the store and the peers were heard last.
func (e *Edge) NewsAge(now time.Time) map[string]time.Duration {
	age := make(map[string]time.Duration)
	if !e.reader.heard.IsZero() {
		age["store"] = now.Sub(e.reader.heard)
	}
	var heard time.Time
	for _, p := range e.roster.peers {
		heard = latest(heard, p.heard)
	}
	if !heard.IsZero() {
		age["peers"] = now.Sub(heard)
	}
	return age
}

// handleStoreRead puts what the store says in force and tells the others.
func (e *Edge) handleStoreRead(now time.Time, v *StoreRead) {
	r := &e.reader
	if !r.readsStore {
		e.log("store-read", "through", revision(v.Batch.Through), "whole", strconv.FormatBool(v.Batch.Whole))
	}
	r.reading, r.readsStore, r.backoff, r.failures, r.next = false, true, 0, 0, now
	if n := len(v.Malformed); n > 0 {
		e.counts.Malformed += uint64(n)
		e.log("entries-malformed", "entries", strconv.Itoa(n), "first", v.Malformed[0].Error(), "through", revision(v.Batch.Through))
	}
	r.heard = now
	through := e.catalog.Through()
	changed, connected := e.catalog.Apply(now, v.Batch)
	r.fullReadNeeded = !connected
	e.applyItems(now, "store", changed)
	if e.catalog.Through() > through {
		r.next = now.Add(minReadInterval)
		e.broadcastChanges(changed, &v.Batch)
	}
}

// broadcastChanges tells all peers of changes. Many at once are left to be fetched.
func (e *Edge) broadcastChanges(changed []catalog.Item, b *catalog.Batch) {
	news := &catalog.Batch{Items: changed, Since: b.Since, Through: b.Through}
	if b.Whole || len(changed) > maxDatagramItems {
		news = nil
	}
	for _, p := range e.roster.peers {
		if p.through < uint64(b.Through) {
			e.messageTo(p).News = news
		}
	}
}

func (e *Edge) handleStoreFailure(now time.Time, v *StoreFailed) {
	r := &e.reader
	if r.readsStore || r.backoff == 0 {
		e.log("store-failed", "error", v.Err.Error(), "history-lost", strconv.FormatBool(v.HistoryLost))
	}
	r.reading = false
	if v.HistoryLost {
		r.fullReadNeeded, r.next = true, now
		return
	}
	r.readsStore = false
	r.failures++
	r.backoff = min(max(2*r.backoff, minReadBackoff), maxReadBackoff)
	r.next = now.Add(r.backoff + time.Duration(e.random.Int64N(int64(r.backoff)/2)))
}

// handleChanges takes over changes that a peer sent.
func (e *Edge) handleChanges(now time.Time, from *peer, b *catalog.Batch) {
	changed, _ := e.catalog.Apply(now, *b)
	e.applyItems(now, from.address.String(), changed)
}

// fetchIfDue asks a peer that has more, unless its news arrive in time.
func (e *Edge) fetchIfDue(now time.Time) {
	r := &e.reader
	if r.fetching {
		return
	}
	var p *peer
	if r.maxRevision > e.catalog.Through() {
		p = e.pickFetchPeer(now)
	}
	if p == nil {
		r.behindSince = time.Time{}
		return
	}
	if r.behindSince.IsZero() {
		r.behindSince = now
	}
	due := r.nextFetch
	if e.routes != nil {
		due = latest(due, r.behindSince.Add(fetchDelay))
		if p.dataCentre != e.config.DataCentre && !e.topRankedLocally(now) {
			due = latest(due, r.behindSince.Add(fetchDelay+remoteFetchDelay))
		}
	}
	if now.Before(due) {
		e.scheduleTick(due)
		return
	}
	r.fetching, r.nextFetch = true, now.Add(fetchDelay)
	e.emit(Effect{Kind: Fetch, Peer: p.address, Since: e.catalog.Through(), Timeout: fetchTimeout})
}

// pickFetchPeer returns a live peer that has more, one of the own data centre where
// there is any. Chance spreads the fetches over those that have it.
func (e *Edge) pickFetchPeer(now time.Time) *peer {
	var best *peer
	equals := 0
	for _, p := range e.roster.peers {
		if p.through <= uint64(e.catalog.Through()) || !e.roster.live(now, p) || now.Sub(p.fetchFailedAt) < fetchTimeout {
			continue
		}
		near := p.dataCentre == e.config.DataCentre
		switch {
		case best == nil || near && best.dataCentre != e.config.DataCentre:
			best, equals = p, 1
		case near || best.dataCentre != e.config.DataCentre:
			if equals++; e.random.IntN(equals) == 0 {
				best = p
			}
		}
	}
	return best
}

// topRankedLocally tells whether this instance is the best ranked live one of its
// data centre.
func (e *Edge) topRankedLocally(now time.Time) bool {
	self := rankOf(e.config.Self, "", 0)
	for _, p := range e.roster.peers {
		if p.dataCentre == e.config.DataCentre && p.rank > self && !p.leaving && e.roster.live(now, p) {
			return false
		}
	}
	return true
}

// notifyNeighbours lets the instances of this data centre know what this one is
// complete up to, as they wait to fetch it here.
func (e *Edge) notifyNeighbours() {
	for _, p := range e.roster.peers {
		if p.dataCentre == e.config.DataCentre && p.through < uint64(e.catalog.Through()) {
			e.messageTo(p)
		}
	}
}

// handleFetchFailure leaves out a peer that did not answer for a while.
func (e *Edge) handleFetchFailure(now time.Time, v *FetchFailed) {
	e.reader.fetching = false
	if p, ok := e.roster.peers[v.From]; ok {
		p.fetchFailedAt = now
	}
	e.log("fetch-failed", "peer", v.From.String(), "error", v.Err.Error())
}

// handleFetched takes over what a peer's catalog holds.
func (e *Edge) handleFetched(now time.Time, v *Fetched) {
	e.reader.fetching = false
	changed, _ := e.catalog.Apply(now, v.Batch)
	e.applyItems(now, v.From.String(), changed)
	if from, ok := e.roster.peers[v.From]; ok && from.dataCentre != e.config.DataCentre {
		e.notifyNeighbours()
	}
}
