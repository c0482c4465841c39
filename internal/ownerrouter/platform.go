package ownerrouter

import (
	"slices"
	"time"

	"github.com/chervilhaven/chervilhaven/internal/member"
	"github.com/chervilhaven/chervilhaven/internal/view"
)

// Limits for reading the platform, the configuration service.
const (
	// watchWait is the time for which the platform may hold a read open (long
	// polling).
	watchWait = 5 * time.Second
	// readGrace is the time after the end of the wait at which a read counts as
	// failed.
	readGrace = 5 * time.Second
	// minBackoff and maxBackoff limit the time between reads after failures.
	minBackoff = time.Second
	maxBackoff = 15 * time.Second
	// maxEmptyBackoff replaces maxBackoff while the instance has no
	// configuration at all.
	maxEmptyBackoff = 4 * time.Second
	// contactTimeout is the age of the last platform contact after which
	// instances other than the representatives try to read the platform.
	contactTimeout = 12 * time.Second
)

// reader is the state of reading the platform. A few instances of each data
// centre, the representatives, read it; the others get the values from peers.
type reader struct {
	// cursor is the newest version seen at the platform, including versions of
	// values that failed validation.
	cursor view.Version
	// inFlight is the number of outstanding reads. At deadline they count as
	// failed.
	inFlight int
	deadline time.Time
	// nextRead is the earliest time of the next read.
	nextRead time.Time
	backoff  time.Duration
	// contact is the time of the data centre's last successful platform read
	// and contactBy the instance that made it.
	contact   time.Time
	contactBy view.ID
	// nextFallback is the time of the next read attempt as a fallback, while no
	// representative seems to reach the platform.
	nextFallback time.Time
}

// digestContact returns the last platform contact in the form sent to peers.
func (r *reader) digestContact(now time.Time) member.PlatformContact {
	if r.contactBy == 0 {
		return member.PlatformContact{}
	}
	return member.PlatformContact{By: r.contactBy, Age: now.Sub(r.contact)}
}

func (n *Router) startRead(now time.Time, wait time.Duration) {
	r := &n.reader
	r.inFlight, r.deadline = r.inFlight+1, now.Add(wait+readGrace)
	n.emit(Effect{Kind: ReadPlatform, Since: r.cursor, Wait: wait, Timeout: wait + readGrace})
}

// readIfDue starts the next read if one is due and this instance is a watcher
// or has to act as a fallback.
func (n *Router) readIfDue(now time.Time) {
	r := &n.reader
	if r.inFlight > 0 && !now.Before(r.deadline) {
		r.inFlight = 1
		n.handlePlatformFailure(now)
	}
	if r.inFlight > 0 || now.Before(r.nextRead) {
		return
	}
	if n.isWatcher(now) {
		n.startRead(now, watchWait)
	} else if n.startup.phase == phaseServing && n.fallbackReadDue(now) {
		n.startRead(now, 0)
	}
}

// isWatcher reports whether this instance reads the platform continuously.
// Representatives do, and so does a fallback reader after a successful read.
// Before serving, an instance does as long as it has no configuration.
func (n *Router) isWatcher(now time.Time) bool {
	if n.startup.phase != phaseServing {
		return n.store.View() == nil
	}
	if n.membership.Representative() {
		return true
	}
	return n.reader.contactBy == n.self && now.Sub(n.reader.contact) < contactTimeout
}

// fallbackReadDue reports whether to try the platform because no representative
// seems to reach it. The delay is random and proportional to the number of
// local members, so that about one instance of the data centre tries per
// second.
func (n *Router) fallbackReadDue(now time.Time) bool {
	r := &n.reader
	if now.Sub(r.contact) < contactTimeout || now.Before(r.nextFallback) {
		return false
	}
	due := !r.nextFallback.IsZero() && now.Sub(r.nextFallback) < contactTimeout
	localMembers := 0
	for _, m := range n.membership.Live() {
		if m.DataCentre == n.config.DataCentre {
			localMembers++
		}
	}
	r.nextFallback = now.Add(time.Duration(n.random.Int64N(int64(localMembers+1) * int64(time.Second))))
	return due
}

// mergeContact updates the last platform contact from a peer's digest. A
// fallback reader stops once a representative reads the platform again.
func (n *Router) mergeContact(now time.Time, c member.PlatformContact) {
	if c.By == 0 || c.By == n.self || c.Age < 0 || !n.membership.InSameDataCentre(c.By) {
		return
	}
	r := &n.reader
	at := now.Add(-c.Age)
	representativeReads := r.contactBy == n.self && c.Age < contactTimeout &&
		slices.Contains(n.membership.Representatives(), c.By)
	if at.After(r.contact) || representativeReads {
		r.contact, r.contactBy = at, c.By
	}
}

// recordOwnContact records a successful read by this instance. An instance that
// is not a representative does not claim the contact while a representative
// reads the platform too, and therefore stops reading.
func (n *Router) recordOwnContact(now time.Time) {
	r := &n.reader
	if n.startup.phase != phaseServing {
		r.contact = now
		return
	}
	representativeReads := r.contactBy != n.self && now.Sub(r.contact) < contactTimeout &&
		slices.Contains(n.membership.Representatives(), r.contactBy)
	if !representativeReads || n.membership.Representative() {
		r.contact, r.contactBy = now, n.self
	}
}

// applyPlatformValues stores the values of a platform response. A response with
// a newer generation than the cursor contains the complete configuration, as
// the platform's protocol defines, and replaces all values.
func (n *Router) applyPlatformValues(now time.Time, values []view.Value) view.Change {
	r := &n.reader
	r.inFlight = max(r.inFlight-1, 0)
	n.recordOwnContact(now)
	newest := r.cursor
	for _, v := range values {
		if v.Version.Compare(newest) > 0 {
			newest = v.Version
		}
	}
	var c view.Change
	if newest.Generation > r.cursor.Generation {
		c = n.store.ApplySnapshot(values...)
	} else {
		c = n.store.Put(values...)
	}
	if newest == r.cursor && len(values) > 0 {
		// A platform restored to an older state returns everything at once on
		// each read.
		n.backOff(now)
	} else {
		r.backoff, r.nextRead = 0, now
	}
	r.cursor = newest
	return c
}

func (n *Router) handlePlatformFailure(now time.Time) {
	n.reader.inFlight = max(n.reader.inFlight-1, 0)
	n.backOff(now)
	n.startup.platformDone = true
	n.advanceStartup(now, nil)
}

// backOff delays the next read exponentially, with up to 25% jitter to spread
// the reads of the instances.
func (n *Router) backOff(now time.Time) {
	r := &n.reader
	limit := maxBackoff
	if n.store.View() == nil {
		limit = maxEmptyBackoff
	}
	r.backoff = min(max(2*r.backoff, minBackoff), limit)
	jitter := time.Duration(n.random.Int64N(int64(r.backoff)/4 + 1))
	r.nextRead = now.Add(r.backoff + jitter)
}
