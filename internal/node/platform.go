package node

import (
	"slices"
	"time"

	"github.com/chervilhaven/chervilhaven/internal/member"
	"github.com/chervilhaven/chervilhaven/internal/view"
)

// Bounds of reading the platform.
const (
	// watchWait is the time that the platform may hold a read open.
	watchWait = 5 * time.Second
	// readGrace is the time past watchWait after which a read counts as failed.
	readGrace = 5 * time.Second
	// minBackoff and maxBackoff bound the time between failed reads.
	minBackoff = time.Second
	maxBackoff = 15 * time.Second
	// emptyBackoff bounds it while no configuration is held at all.
	emptyBackoff = 4 * time.Second
	// contactLimit is the age of the last contact with the platform after
	// which others than the representatives try to read it.
	contactLimit = 12 * time.Second
)

// reader is the state of reading the platform.
type reader struct {
	// cursor is the newest version that the platform showed, also of values
	// that were refused.
	cursor view.Version
	// reads is the number of reads in flight, forgotten at deadline.
	reads    int
	deadline time.Time
	// next is the earliest time of the next read.
	next    time.Time
	backoff time.Duration
	// contact is the data centre's last contact with the platform, made by the
	// instance by.
	contact time.Time
	by      view.ID
	// volunteer is the next time to try as somebody who is no representative.
	volunteer time.Time
}

// contactAt returns the contact to tell a peer.
func (r *reader) contactAt(now time.Time) member.PlatformContact {
	if r.by == 0 {
		return member.PlatformContact{}
	}
	return member.PlatformContact{By: r.by, Age: now.Sub(r.contact)}
}

func (n *Node) read(now time.Time, wait time.Duration) {
	r := &n.reader
	r.reads, r.deadline = r.reads+1, now.Add(wait+readGrace)
	n.emit(Effect{Kind: ReadPlatform, Since: r.cursor, Wait: wait, Timeout: wait + readGrace})
}

// readIfDue starts the next read where this instance watches the platform.
func (n *Node) readIfDue(now time.Time) {
	r := &n.reader
	if r.reads > 0 && !now.Before(r.deadline) {
		r.reads = 1
		n.platformFailed(now)
	}
	if r.reads > 0 || now.Before(r.next) {
		return
	}
	if n.watches(now) {
		n.read(now, watchWait)
	} else if n.start.phase == serving && n.volunteers(now) {
		n.read(now, 0)
	}
}

// watches tells whether this instance is one of the few that watch.
func (n *Node) watches(now time.Time) bool {
	if n.start.phase != serving {
		return n.store.View() == nil
	}
	if n.members.Representative() {
		return true
	}
	return n.reader.by == n.self && now.Sub(n.reader.contact) < contactLimit
}

// volunteers tells whether to try the platform because no representative
// seems to reach it. About one instance of the data centre tries in a second.
func (n *Node) volunteers(now time.Time) bool {
	r := &n.reader
	if now.Sub(r.contact) < contactLimit || now.Before(r.volunteer) {
		return false
	}
	due := !r.volunteer.IsZero() && now.Sub(r.volunteer) < contactLimit
	near := 0
	for _, m := range n.members.Live() {
		if m.DataCentre == n.config.DataCentre {
			near++
		}
	}
	r.volunteer = now.Add(time.Duration(n.random.Int64N(int64(near+1) * int64(time.Second))))
	return due
}

// hearContact takes in a peer's word on the last contact with the platform. A
// volunteer gives up once a representative reads the platform again.
func (n *Node) hearContact(now time.Time, c member.PlatformContact) {
	if c.By == 0 || c.By == n.self || c.Age < 0 || !n.members.InSameDataCentre(c.By) {
		return
	}
	r := &n.reader
	at := now.Add(-c.Age)
	relieved := r.by == n.self && c.Age < contactLimit &&
		slices.Contains(n.members.Representatives(), c.By)
	if at.After(r.contact) || relieved {
		r.contact, r.by = at, c.By
	}
}

// ownContact notes that this instance read the platform. One that is no
// representative does not go on where a representative reads it too.
func (n *Node) ownContact(now time.Time) {
	r := &n.reader
	if n.start.phase != serving {
		r.contact = now
		return
	}
	known := r.by != n.self && now.Sub(r.contact) < contactLimit &&
		slices.Contains(n.members.Representatives(), r.by)
	if !known || n.members.Representative() {
		r.contact, r.by = now, n.self
	}
}

// platformAnswered applies what the platform sent. An answer of a generation
// newer than the cursor is complete by the platform's protocol.
func (n *Node) platformAnswered(now time.Time, values []view.Value) view.Change {
	r := &n.reader
	r.reads = max(r.reads-1, 0)
	n.ownContact(now)
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
		// A platform that has gone back answers everything at once, each time.
		n.backOff(now)
	} else {
		r.backoff, r.next = 0, now
	}
	r.cursor = newest
	return c
}

func (n *Node) platformFailed(now time.Time) {
	n.reader.reads = max(n.reader.reads-1, 0)
	n.backOff(now)
	n.start.platform = true
	n.advanceStart(now, nil)
}

// backOff delays the next read, with some jitter to spread the instances.
func (n *Node) backOff(now time.Time) {
	r := &n.reader
	limit := maxBackoff
	if n.store.View() == nil {
		limit = emptyBackoff
	}
	r.backoff = min(max(2*r.backoff, minBackoff), limit)
	jitter := time.Duration(n.random.Int64N(int64(r.backoff)/4 + 1))
	r.next = now.Add(r.backoff + jitter)
}
