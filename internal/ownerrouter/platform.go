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

func (rt *Router) startRead(now time.Time, wait time.Duration) {
	r := &rt.reader
	r.inFlight, r.deadline = r.inFlight+1, now.Add(wait+readGrace)
	rt.emit(Effect{Kind: ReadPlatform, Since: r.cursor, Wait: wait, Timeout: wait + readGrace})
}

// readIfDue starts the next read if one is due and this instance is a watcher
// or has to act as a fallback.
func (rt *Router) readIfDue(now time.Time) {
	r := &rt.reader
	if r.inFlight > 0 && !now.Before(r.deadline) {
		r.inFlight = 1
		rt.handlePlatformFailure(now)
	}
	if r.inFlight > 0 || now.Before(r.nextRead) {
		return
	}
	if rt.isWatcher(now) {
		rt.startRead(now, watchWait)
	} else if rt.startup.phase == phaseServing && rt.fallbackReadDue(now) {
		rt.startRead(now, 0)
	}
}

// isWatcher reports whether this instance reads the platform continuously.
// Representatives do, and so does a fallback reader after a successful read.
// Before serving, an instance does as long as it has no configuration.
func (rt *Router) isWatcher(now time.Time) bool {
	if rt.startup.phase != phaseServing {
		return rt.store.View() == nil
	}
	if rt.membership.Representative() {
		return true
	}
	return rt.reader.contactBy == rt.self && now.Sub(rt.reader.contact) < contactTimeout
}

// fallbackReadDue reports whether to try the platform because no representative
// seems to reach it. The delay is random and proportional to the number of
// local members, so that about one instance of the data centre tries per
// second.
func (rt *Router) fallbackReadDue(now time.Time) bool {
	r := &rt.reader
	if now.Sub(r.contact) < contactTimeout || now.Before(r.nextFallback) {
		return false
	}
	due := !r.nextFallback.IsZero() && now.Sub(r.nextFallback) < contactTimeout
	localMembers := 0
	for _, m := range rt.membership.Live() {
		if m.DataCentre == rt.config.DataCentre {
			localMembers++
		}
	}
	r.nextFallback = now.Add(time.Duration(rt.random.Int64N(int64(localMembers+1) * int64(time.Second))))
	return due
}

// mergeContact updates the last platform contact from a peer's digest. A
// fallback reader stops once a representative reads the platform again.
func (rt *Router) mergeContact(now time.Time, c member.PlatformContact) {
	if c.By == 0 || c.By == rt.self || c.Age < 0 || !rt.membership.InSameDataCentre(c.By) {
		return
	}
	r := &rt.reader
	at := now.Add(-c.Age)
	representativeReads := r.contactBy == rt.self && c.Age < contactTimeout &&
		slices.Contains(rt.membership.Representatives(), c.By)
	if at.After(r.contact) || representativeReads {
		r.contact, r.contactBy = at, c.By
	}
}

// recordOwnContact records a successful read by this instance. An instance that
// is not a representative does not claim the contact while a representative
// reads the platform too, and therefore stops reading.
func (rt *Router) recordOwnContact(now time.Time) {
	r := &rt.reader
	if rt.startup.phase != phaseServing {
		r.contact = now
		return
	}
	representativeReads := r.contactBy != rt.self && now.Sub(r.contact) < contactTimeout &&
		slices.Contains(rt.membership.Representatives(), r.contactBy)
	if !representativeReads || rt.membership.Representative() {
		r.contact, r.contactBy = now, rt.self
	}
}

// applyPlatformValues stores the values of a platform response. A response with
// a newer generation than the cursor contains the complete configuration, as
// the platform's protocol defines, and replaces all values.
func (rt *Router) applyPlatformValues(now time.Time, values []view.Value) view.Change {
	r := &rt.reader
	r.inFlight = max(r.inFlight-1, 0)
	rt.recordOwnContact(now)
	newest := r.cursor
	for _, v := range values {
		if v.Version.Compare(newest) > 0 {
			newest = v.Version
		}
	}
	var c view.Change
	if newest.Generation > r.cursor.Generation {
		c = rt.store.ApplySnapshot(values...)
	} else {
		c = rt.store.Put(values...)
	}
	if newest == r.cursor && len(values) > 0 {
		// A platform restored to an older state returns everything at once on
		// each read.
		rt.backOff(now)
	} else {
		r.backoff, r.nextRead = 0, now
	}
	r.cursor = newest
	return c
}

func (rt *Router) handlePlatformFailure(now time.Time) {
	rt.reader.inFlight = max(rt.reader.inFlight-1, 0)
	rt.backOff(now)
	rt.startup.platformDone = true
	rt.advanceStartup(now, nil)
}

// backOff delays the next read exponentially, with up to 25% jitter to spread
// the reads of the instances.
func (rt *Router) backOff(now time.Time) {
	r := &rt.reader
	limit := maxBackoff
	if rt.store.View() == nil {
		limit = maxEmptyBackoff
	}
	r.backoff = min(max(2*r.backoff, minBackoff), limit)
	jitter := time.Duration(rt.random.Int64N(int64(r.backoff)/4 + 1))
	r.nextRead = now.Add(r.backoff + jitter)
}
