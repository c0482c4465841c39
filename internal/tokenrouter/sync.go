package tokenrouter

import (
	"math"
	"slices"
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
	// minFirstReadDelay and maxFirstReadDelay limit the time for which an instance
	// with a slow link waits after its start for a peer that has the catalog. All
	// instances may start within 0.3 s, those with the seeds' addresses last.
	minFirstReadDelay = 300 * time.Millisecond
	maxFirstReadDelay = 600 * time.Millisecond
	// minReadInterval is the time between reads while changes arrive quickly.
	// Reads are charged for, and the tightest limit on the delay of a change is 3
	// s.
	minReadInterval = 250 * time.Millisecond
	// readerStagger is how long each instance waits for a higher ranked one to
	// become a reader.
	readerStagger = 100 * time.Millisecond
	// maxStaggeredReaders is the number of instances that try to read within the
	// first second. The others follow at the same pace by rank, so that a store that
	// is down does not get calls from a whole fleet.
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
	// freshSince is the time since which some instance has read the store all along,
	// zero while none does.
	freshSince time.Time
	// next is when to read next, or to check again whether this instance should
	// read.
	next    time.Time
	backoff time.Duration
	// failures counts consecutive failed reads.
	failures int
	// fullReadNeeded makes the next read a full one.
	fullReadNeeded bool
	// firstReadDelay is how long an instance with a slow link waits before its first
	// read, zero before it is drawn.
	firstReadDelay time.Duration
	// shortageSince is the time since which too few other instances read the
	// store.
	shortageSince time.Time
	fetching      bool
	// newest is the latest position up to which any peer's catalog was complete.
	newest catalog.Position
	// newestVersion is the highest version of any peer's configuration.
	newestVersion uint64
	// behindSince is the time since which a peer is known to have a newer
	// catalog.
	behindSince time.Time
	// nextFetch is the earliest time of the next fetch.
	nextFetch time.Time
}

// readIfDue starts the next read if this instance should read the store.
func (rt *Router) readIfDue(now time.Time) {
	r := &rt.reader
	if r.reading || now.Before(r.next) {
		return
	}
	if !rt.shouldRead(now) {
		r.readsStore = false
		r.next = now.Add(readerStagger)
		return
	}
	since := rt.catalog.Position()
	if r.fullReadNeeded || since.Revision == 0 {
		r.reading = true
		rt.emit(Effect{Kind: ReadStore, Timeout: min(fullReadTimeout<<min(r.failures, 2), maxFullReadTimeout)})
		return
	}
	r.reading = true
	rt.emit(Effect{Kind: ReadStore, Since: since, Wait: longPollWait, Timeout: longPollWait + readGrace})
}

// shouldRead reports whether this instance should read the store because fewer
// than readerCount readers take precedence over it. Higher ranked instances that
// do not read yet get some time to start.
func (rt *Router) shouldRead(now time.Time) bool {
	r := &rt.reader
	if rt.catalog.Through() == 0 {
		return !rt.leavesFirstRead(now)
	}
	active, idle := rt.activeReaders(now), rt.idleReaders(now)
	switch {
	case active >= readerCount, rt.stopping && active > 0:
		r.shortageSince = time.Time{}
		return false
	case r.readsStore, active+idle < readerCount:
		return true
	case r.shortageSince.IsZero():
		r.shortageSince = now
	}
	wait := time.Duration(min(idle, maxStaggeredReaders)) * readerStagger
	if idle >= maxStaggeredReaders {
		wait += time.Duration(rt.estimatedRank()) * readerStagger
	}
	return now.Sub(r.shortageSince) >= wait
}

// estimatedRank returns about how many instances rank higher for reading the store.
// Ranks are spread evenly.
func (rt *Router) estimatedRank() int {
	share := float64(rankOf(rt.config.Self, "", 0)) / math.MaxUint64
	return int((1 - share) * float64(len(rt.roster.peers)))
}

// leavesFirstRead reports whether this instance still waits for a peer from which
// to fetch the catalog. If all instances of a large fleet read the whole store at
// once, its link is full and none of them finishes in time.
func (rt *Router) leavesFirstRead(now time.Time) bool {
	if !rt.config.SlowLink {
		return false
	}
	if rt.reader.firstReadDelay == 0 {
		rt.reader.firstReadDelay = minFirstReadDelay + time.Duration(rt.random.Int64N(int64(maxFirstReadDelay-minFirstReadDelay)))
	}
	return rt.reader.fetching || now.Sub(rt.started) < rt.reader.firstReadDelay
}

// activeReaders counts the live peers that read the store and take precedence over
// this instance. While this instance does not read, every reader takes precedence,
// whatever its rank.
func (rt *Router) activeReaders(now time.Time) int {
	self := rankOf(rt.config.Self, "", 0)
	active := 0
	for _, p := range rt.roster.readers {
		if rt.mayRead(now, p) && rt.roster.reads(now, p) && (p.rank > self || !rt.reader.readsStore) {
			active++
		}
	}
	return active
}

// idleReaders counts the live peers that do not read the store although they rank
// higher than this instance, up to the number that it waits for.
func (rt *Router) idleReaders(now time.Time) int {
	idle := 0
	for _, p := range rt.candidates(group{}) {
		if p == nil {
			break
		}
		if rt.mayRead(now, p) && !rt.roster.reads(now, p) && !slices.Contains(rt.cutOff, p.dataCentre) {
			idle++
		}
	}
	return idle
}

func (rt *Router) mayRead(now time.Time, p *peer) bool { return !p.leaving && rt.roster.live(now, p) }

// catalogFresh reports whether this instance or a live peer reads the store.
func (rt *Router) catalogFresh(now time.Time) bool {
	if rt.reader.readsStore {
		return true
	}
	return slices.ContainsFunc(rt.roster.readers, func(p *peer) bool {
		return rt.roster.reads(now, p) && rt.roster.live(now, p)
	})
}

// SourceAges returns the time since the last answer of the store (key "store")
// and since the last message of any peer (key "peers"). A source that was never
// heard is left out.
func (rt *Router) SourceAges(now time.Time) map[string]time.Duration {
	age := make(map[string]time.Duration)
	if !rt.reader.heard.IsZero() {
		age["store"] = now.Sub(rt.reader.heard)
	}
	var heard time.Time
	for _, p := range rt.roster.peers {
		heard = latest(heard, p.heard)
	}
	if !heard.IsZero() {
		age["peers"] = now.Sub(heard)
	}
	return age
}

// handleStoreRead applies the result of a read and sends the changes to peers.
func (rt *Router) handleStoreRead(now time.Time, v *StoreRead) {
	r := &rt.reader
	if !r.readsStore {
		rt.log("store-read", "era", era(v.Batch.Era), "through", revision(v.Batch.Through), "whole", strconv.FormatBool(v.Batch.Snapshot))
	}
	r.reading, r.readsStore, r.backoff, r.failures, r.next = false, true, 0, 0, now
	if n := len(v.Malformed); n > 0 {
		rt.counts.Malformed += uint64(n)
		rt.log("entries-malformed", "entries", strconv.Itoa(n), "first", v.Malformed[0].Error(), "through", revision(v.Batch.Through))
	}
	r.heard = now
	held := rt.catalog.Position()
	change := rt.applyBatch(now, "store", &v.Batch)
	rt.counts.Stale += uint64(change.Stale)
	r.fullReadNeeded = !change.Connected
	if v.Batch.Snapshot {
		// A store that refuses a watch after each full read is not read in a loop.
		r.next = now.Add(minReadInterval)
	}
	if held.Before(rt.catalog.Position()) {
		r.next = now.Add(minReadInterval)
		rt.broadcastChanges(now, held, &v.Batch)
	}
}

// broadcastChanges informs all peers that are behind of a batch that the store
// returned. held is the position of the catalog before it. Peers may lack what this
// instance held already, so that a part of the batch must not pass for all of it.
// Changes that do not fit into a datagram are left for them to fetch. Those of the same
// data centre learn of a whole read directly: they may be waiting for it to start.
func (rt *Router) broadcastChanges(now time.Time, held catalog.Position, b *catalog.Batch) {
	changes := b
	if len(b.Items) > maxDatagramItems {
		rest := b.After(held.Revision)
		changes = &rest
	}
	if b.Snapshot || len(changes.Items) > maxDatagramItems {
		changes = nil
	}
	if b.Snapshot {
		for _, p := range rt.stalePeers(now, rt.config.DataCentre) {
			rt.messageTo(p)
		}
	}
	rt.spreadChanges(now, rt.stalePeers(now, ""), changes)
}

func (rt *Router) handleStoreFailure(now time.Time, v *StoreFailed) {
	r := &rt.reader
	if r.readsStore || r.backoff == 0 {
		rt.log("store-failed", "error", v.Err.Error(), "history-lost", strconv.FormatBool(v.HistoryLost))
	}
	r.reading = false
	if v.HistoryLost {
		r.fullReadNeeded, r.next = true, now
		return
	}
	r.readsStore = false
	r.failures++
	r.backoff = min(max(2*r.backoff, minReadBackoff), maxReadBackoff)
	r.next = now.Add(r.backoff + time.Duration(rt.random.Int64N(int64(r.backoff)/2)))
}

// handleChanges applies changes that a peer sent.
func (rt *Router) handleChanges(now time.Time, from *peer, b *catalog.Batch) {
	rt.applyBatch(now, from.address.String(), b)
}

// fetchIfDue fetches from a peer with a newer catalog, unless the changes arrive
// by datagram first.
func (rt *Router) fetchIfDue(now time.Time) {
	r := &rt.reader
	if r.fetching {
		return
	}
	var p *peer
	if rt.catalog.Position().Before(r.newest) || rt.catalog.ConfigurationVersion() < r.newestVersion {
		p = rt.pickFetchPeer(now)
	}
	if p == nil {
		// Peers that are still ahead say so in their next message.
		r.newest, r.newestVersion = rt.catalog.Position(), rt.catalog.ConfigurationVersion()
		r.behindSince = time.Time{}
		return
	}
	if r.behindSince.IsZero() {
		r.behindSince = now
	}
	due := r.nextFetch
	if rt.routes != nil {
		due = latest(due, r.behindSince.Add(fetchDelay))
		if p.dataCentre != rt.config.DataCentre && !rt.topRankedLocally(now) {
			due = latest(due, r.behindSince.Add(fetchDelay+remoteFetchDelay))
		}
	}
	if now.Before(due) {
		rt.scheduleTick(due)
		return
	}
	r.fetching, r.nextFetch = true, now.Add(fetchDelay)
	since := rt.catalog.Position()
	if !since.Before(p.through) {
		// Only the whole content has a configuration that the store has lost.
		since = catalog.Position{}
	}
	rt.emit(Effect{Kind: Fetch, Peer: p.address, Since: since, Timeout: fetchTimeout})
}

// pickFetchPeer returns a live peer with a newer catalog, preferably one in the
// same data centre, nil if there is none. The choice among equals is random, to
// spread the load.
func (rt *Router) pickFetchPeer(now time.Time) *peer {
	var best *peer
	equals := 0
	for _, p := range rt.roster.peers {
		if !rt.isBehind(p) || !rt.roster.live(now, p) || now.Sub(p.fetchFailedAt) < fetchTimeout {
			continue
		}
		near := p.dataCentre == rt.config.DataCentre
		switch {
		case best == nil || near && best.dataCentre != rt.config.DataCentre:
			best, equals = p, 1
		case near || best.dataCentre != rt.config.DataCentre:
			if equals++; rt.random.IntN(equals) == 0 {
				best = p
			}
		}
	}
	return best
}

// isBehind reports whether a peer has a later catalog or a newer configuration. A
// restored store may lack the newest configuration until operators write it again.
func (rt *Router) isBehind(p *peer) bool {
	return rt.catalog.Position().Before(p.through) || rt.catalog.ConfigurationVersion() < p.version
}

// topRankedLocally reports whether this instance is the highest ranked live
// instance of its data centre.
func (rt *Router) topRankedLocally(now time.Time) bool {
	self := rankOf(rt.config.Self, "", 0)
	for _, p := range rt.roster.peers {
		if p.dataCentre == rt.config.DataCentre && p.rank > self && !p.leaving && rt.roster.live(now, p) {
			return false
		}
	}
	return true
}

// notifyNeighbours sends a message with the revision of this catalog to the
// instances of the same data centre whose catalog is older. They may be waiting
// to fetch from this instance.
func (rt *Router) notifyNeighbours(now time.Time) {
	rt.spreadChanges(now, rt.stalePeers(now, rt.config.DataCentre), nil)
}

// handleFetchFailure excludes a peer that did not answer from fetches for
// fetchTimeout.
func (rt *Router) handleFetchFailure(now time.Time, v *FetchFailed) {
	rt.reader.fetching = false
	if p, ok := rt.roster.peers[v.From]; ok {
		p.fetchFailedAt = now
	}
	rt.log("fetch-failed", "peer", v.From.String(), "error", v.Err.Error())
}

// handleFetched applies the catalog items fetched from a peer.
func (rt *Router) handleFetched(now time.Time, v *Fetched) {
	rt.reader.fetching = false
	rt.applyBatch(now, v.From.String(), &v.Batch)
	if from, ok := rt.roster.peers[v.From]; ok && from.dataCentre != rt.config.DataCentre {
		rt.notifyNeighbours(now)
	}
}
