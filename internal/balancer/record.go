package balancer

import (
	"time"

	"github.com/chervilhaven/chervilhaven/internal/view"
	"github.com/chervilhaven/chervilhaven/pkg/flow"
)

// recordState is the stage of a flow's life cycle.
type recordState uint8

const (
	// opening flows have sent only their opening packet.
	opening recordState = iota
	// established flows have acknowledged the upstream's response.
	established
	// closing flows have been closed by the caller but may not be closed by the
	// upstream yet.
	closing
)

// recordFlags is a set of properties of a recorded flow.
type recordFlags uint8

const (
	// stale marks a flow that was opened before the upstream restarted.
	stale recordFlags = 1 << iota
	// awaitingResponse is set from a request until the caller first
	// acknowledges part of the response.
	awaitingResponse
	// active is set while the flow uses a slot of the upstream.
	active
	// openStalled is set once the opening has been counted as unanswered.
	openStalled
	// backedUp is set once backup pointers for the flow have been queued or
	// found unnecessary.
	backedUp
	// unreported is set if the owner of the flow's first choice could not be
	// told at once that the upstream holds the flow.
	unreported
)

// record describes one flow held by an upstream. It is limited to 16 bytes
// because an instance holds hundreds of thousands. Times are relative to the
// start time of the balancer.
type record struct {
	// lastSeen is the time of the last packet or, before any, of the creation of
	// the record, in seconds.
	lastSeen uint32
	// lastActivity is the time of the last request or response progress, in
	// milliseconds.
	lastActivity uint32
	// ack is the last acknowledgement number sent by the caller.
	ack uint32
	// class is an index into the classes of the service, or -1 if unknown.
	class int8
	state recordState
	flags recordFlags
}

func (r *record) has(f recordFlags) bool { return r.flags&f != 0 }

func (r *record) set(f recordFlags) { r.flags |= f }

func (r *record) clear(f recordFlags) { r.flags &^= f }

// pointer records that a flow was passed on to another upstream. The owner of
// the flow's first choice keeps it, and other owners may keep a backup.
type pointer struct {
	to view.ID
	// lastSeen is the time of the last use, in seconds.
	lastSeen uint32
	// openSentAt is the time at which the opening packet was last passed on, in
	// milliseconds.
	openSentAt uint32
	// confirmed is true once the flow is known to be held by the upstream, such
	// as after a packet of the established flow has followed the pointer.
	confirmed bool
}

// keepRecord reports whether the record has not expired.
func (b *Balancer) keepRecord(r *record) bool {
	age := time.Duration(b.elapsedSeconds()-r.lastSeen) * time.Second
	switch r.state {
	case opening:
		return age <= b.settings.OpenTimeout
	case closing:
		return age <= closeLinger
	case established:
		return age <= b.settings.IdleLimit
	default:
		return false
	}
}

func (b *Balancer) keepPointer(p *pointer) bool {
	age := time.Duration(b.elapsedSeconds()-p.lastSeen) * time.Second
	if !p.confirmed {
		return age <= b.settings.OpenTimeout
	}
	return age <= b.settings.IdleLimit
}

// updateRecord updates a record for a packet of its flow.
func (b *Balancer) updateRecord(o *ownedUpstream, id flow.ID, r *record, p *flow.Packet) {
	r.lastSeen = b.elapsedSeconds()
	if r.has(stale) && p.Role != flow.RoleReset {
		return
	}
	switch p.Role {
	case flow.RoleOpen:
		if r.state == opening {
			b.noteStall(o, r)
		}
	case flow.RoleReset:
		b.removeRecord(o, id, r)
	case flow.RoleClose:
		b.noteAcknowledgement(o, id, r, p)
		r.state = closing
		o.releaseSlot(id, r)
	case flow.RoleData:
		b.updateOnData(o, id, r, p)
	}
}

func (b *Balancer) updateOnData(o *ownedUpstream, id flow.ID, r *record, p *flow.Packet) {
	if r.state == closing {
		// The acknowledgement of the upstream's FIN is the last packet.
		if p.PayloadBytes == 0 && p.Acknowledgement != r.ack {
			b.removeRecord(o, id, r)
		}
		return
	}
	b.noteAcknowledgement(o, id, r, p)
	if p.PayloadBytes > 0 {
		b.noteRequest(o, id, r)
	}
}

// noteAcknowledgement updates the flow for the data that the caller
// acknowledges.
func (b *Balancer) noteAcknowledgement(o *ownedUpstream, id flow.ID, r *record, p *flow.Packet) {
	if r.state == opening {
		r.state = established
		r.ack = p.Acknowledgement
		o.limiter.RecordOpening()
		return
	}
	if p.Acknowledgement == r.ack {
		return
	}
	r.ack = p.Acknowledgement
	if !r.has(awaitingResponse) {
		if r.has(active) {
			r.lastActivity = b.elapsedMilliseconds()
		}
		return
	}
	r.clear(awaitingResponse)
	o.limiter.RecordAnswer()
	o.countResponse(int(r.class), time.Duration(b.elapsedMilliseconds()-r.lastActivity)*time.Millisecond)
	r.lastActivity = b.elapsedMilliseconds()
	o.occupySlot(id, r)
}

// noteRequest marks the flow as awaiting the response to a request.
func (b *Balancer) noteRequest(o *ownedUpstream, id flow.ID, r *record) {
	if r.has(awaitingResponse) {
		return
	}
	r.set(awaitingResponse)
	r.lastActivity = b.elapsedMilliseconds()
	o.occupySlot(id, r)
}
