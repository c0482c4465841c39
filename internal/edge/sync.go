package edge

import (
	"strconv"
	"time"

	"github.com/chervilhaven/chervilhaven/internal/catalog"
)

// Limits and timeouts of reads from the platform's store and fetches from peers.
const (
	// readerCount is the number of instances that read the store. The others miss
	// changes only if both readers fail within the same second.
	readerCount = 2
	// longPollWait is how long the store may hold a read open. A dead connection
	// is noticed after it, within the tightest limit of 3 s on the delay of a
	// change.
	longPollWait = time.Second
	// readGrace is how long after longPollWait a read counts as failed: a hundred
	// round trips.
	readGrace = 400 * time.Millisecond
	// fullReadTimeout limits each page of a full read: 1 MB at 20 Mbit/s
	// including decoding. It doubles with each failure up to maxFullReadTimeout,
	// because the store or the link may be slow.
	fullReadTimeout    = 600 * time.Millisecond
	maxFullReadTimeout = 4 * fullReadTimeout
	// minReadInterval is the time between reads while changes arrive quickly.
	// Reads are charged for, and the tightest limit on the delay of a change is 3
	// s.
	minReadInterval = 250 * time.Millisecond
	// readerStagger is how long each instance waits for a higher ranked one to
	// become a reader.
	readerStagger = 100 * time.Millisecond
	// maxStaggeredReaders limits the number of higher ranked instances to wait
	// for.
	maxStaggeredReaders = 10
	// minReadBackoff and maxReadBackoff limit the time between failed reads.
	minReadBackoff = 200 * time.Millisecond
	maxReadBackoff = time.Second
	// fetchDelay is how long to wait for changes that a peer already has to
	// arrive by datagram before fetching them.
	fetchDelay = 60 * time.Millisecond
	// fetchTimeout limits one fetch from a peer.
	fetchTimeout = 800 * time.Millisecond
	// remoteFetchDelay is how much longer instances wait for the highest ranked
	// one of their data centre to fetch from another data centre: the time of one
	// fetch over a link of 10 Mbit/s.
	remoteFetchDelay = 80 * time.Millisecond
	// maxDatagramItems limits the changes sent in one datagram. Larger sets of
	// changes are fetched.
	maxDatagramItems = 24
	// fleetSizeWindow is how long a silent instance still counts towards the size
	// of the fleet.
	fleetSizeWindow = 10 * time.Second
)

// reader is the state of reads from the store and fetches from peers.
type reader struct {
	reading bool
	// readsStore is true if the last read succeeded.
	readsStore bool
	// heard is when the store last answered.
	heard time.Time
	// next is when to read next, or to check again whether this instance should
	// read.
	next    time.Time
	backoff time.Duration
	// failures counts consecutive failed reads.
	failures int
	// fullReadNeeded makes the next read a full one.
	fullReadNeeded bool
	// shortageSince is the time since which too few other instances read the
	// store.
	shortageSince time.Time
	fetching      bool
	// maxRevision is the highest revision up to which any peer's catalog was
	// complete.
	maxRevision catalog.Revision
	// behindSince is the time since which a peer is known to have a newer
	// catalog.
	behindSince time.Time
	// nextFetch is the earliest time of the next fetch.
	nextFetch time.Time
}

// readIfDue starts the next read if this instance should read the store.
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
		e.emit(Effect{Kind: ReadStore, Timeout: min(fullReadTimeout<<min(r.failures, 2), maxFullReadTimeout)})
		return
	}
	r.reading = true
	e.emit(Effect{Kind: ReadStore, Since: since, Wait: longPollWait, Timeout: longPollWait + readGrace})
}

// shouldRead reports whether this instance should read the store because fewer
// than readerCount higher ranked instances do. Higher ranked instances that do
// not read yet get some time to start.
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

// otherReaders counts the live peers that read the store and take precedence
// over this instance, and the higher ranked live peers that do not read.
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

// catalogFresh reports whether this instance or a live peer reads the store.
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

// SourceAges returns the time since the last answer of the store (key "store")
// and since the last message of any peer (key "peers"). A source that was never
// heard is left out.
func (e *Edge) SourceAges(now time.Time) map[string]time.Duration {
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

// handleStoreRead applies the result of a read and sends the changes to peers.
func (e *Edge) handleStoreRead(now time.Time, v *StoreRead) {
	r := &e.reader
	if !r.readsStore {
		e.log("store-read", "through", revision(v.Batch.Through), "whole", strconv.FormatBool(v.Batch.Snapshot))
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

// broadcastChanges informs all peers that are behind. Changes that do not fit
// into a datagram are left for them to fetch.
func (e *Edge) broadcastChanges(changed []catalog.Item, b *catalog.Batch) {
	news := &catalog.Batch{Items: changed, Since: b.Since, Through: b.Through}
	if b.Snapshot || len(changed) > maxDatagramItems {
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

// handleChanges applies changes that a peer sent.
func (e *Edge) handleChanges(now time.Time, from *peer, b *catalog.Batch) {
	changed, _ := e.catalog.Apply(now, *b)
	e.applyItems(now, from.address.String(), changed)
}

// fetchIfDue fetches from a peer with a newer catalog, unless the changes arrive
// by datagram first.
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

// pickFetchPeer returns a live peer with a newer catalog, preferably one in the
// own data centre, nil if there is none. The choice among equals is random, to
// spread the load.
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

// topRankedLocally reports whether this instance is the highest ranked live
// instance of its data centre.
func (e *Edge) topRankedLocally(now time.Time) bool {
	self := rankOf(e.config.Self, "", 0)
	for _, p := range e.roster.peers {
		if p.dataCentre == e.config.DataCentre && p.rank > self && !p.leaving && e.roster.live(now, p) {
			return false
		}
	}
	return true
}

// notifyNeighbours tells the instances of the own data centre that are behind
// the new revision of this catalog, because they wait to fetch from here.
func (e *Edge) notifyNeighbours() {
	for _, p := range e.roster.peers {
		if p.dataCentre == e.config.DataCentre && p.through < uint64(e.catalog.Through()) {
			e.messageTo(p)
		}
	}
}

// handleFetchFailure excludes a peer that did not answer from fetches for
// fetchTimeout.
func (e *Edge) handleFetchFailure(now time.Time, v *FetchFailed) {
	e.reader.fetching = false
	if p, ok := e.roster.peers[v.From]; ok {
		p.fetchFailedAt = now
	}
	e.log("fetch-failed", "peer", v.From.String(), "error", v.Err.Error())
}

// handleFetched applies the catalog items fetched from a peer.
func (e *Edge) handleFetched(now time.Time, v *Fetched) {
	e.reader.fetching = false
	changed, _ := e.catalog.Apply(now, v.Batch)
	e.applyItems(now, v.From.String(), changed)
	if from, ok := e.roster.peers[v.From]; ok && from.dataCentre != e.config.DataCentre {
		e.notifyNeighbours()
	}
}
