package soak

import (
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	datagramBytes = 2048
	upstreamSlots = 2
	upstreamQueue = 8
	upstreamWork  = 15 * time.Millisecond
)

// upstream serves requests of one service in one data centre.
type upstream struct {
	site       *Site
	id         string
	number     uint64
	service    string
	dataCentre string
	address    netip.AddrPort
	socket     *net.UDPConn

	mu    sync.Mutex
	flows map[netip.AddrPort]*served
	ran   map[uint64]bool
	busy  int
	queue []func()
	// openings are the times of opening packets while cold.
	openings []time.Time
	cold     time.Time
	// draining is the time at which the store acknowledged it.
	draining time.Time
	// crashed is read without the lock.
	crashed atomic.Bool
}

// served is a flow at an upstream.
type served struct {
	echo uint32
	open bool
}

func newUpstream(s *Site, index int, service, dataCentre string) (*upstream, error) {
	h := fnv.New64a()
	_, _ = fmt.Fprintf(h, "%d %d %s", s.config.Seed, index, service)
	number := h.Sum64() >> 24
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 128, byte(index >> 8), byte(index + 1)}), upstreamPort)
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, errors.Wrap(err, "upstream listen")
	}
	return &upstream{
		site: s, id: fmt.Sprintf("i-%010x", number), number: number, service: service, dataCentre: dataCentre, address: address,
		socket: socket, flows: make(map[netip.AddrPort]*served), ran: make(map[uint64]bool),
	}, nil
}

// entry is what the upstream writes to the store.
func (u *upstream) entry(state string, cold time.Duration) string {
	return fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":%d,"state":%q,"cold-remaining-ms":%d,"sequence":1,"born":%d}`,
		u.service, u.address, u.dataCentre, upstreamSlots, state, cold.Milliseconds(), u.site.journal.begun.UnixMilli())
}

// serve reads datagrams until the socket closes.
func (u *upstream) serve() {
	buffer := make([]byte, datagramBytes)
	for {
		n, _, err := u.socket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		if n < numberBytes+headBytes || binary.BigEndian.Uint64(buffer) != u.number {
			continue
		}
		p, genuine, _ := decode(buffer[numberBytes:n])
		if !genuine {
			u.site.journal.broke(promiseUnasked, "%s got a packet that its sender did not write", u.id)
			continue
		}
		p.data = append([]byte(nil), p.data...)
		u.handle(&p)
	}
}

func (u *upstream) handle(p *packet) {
	u.mu.Lock()
	defer u.mu.Unlock()
	f := u.flows[p.source]
	switch {
	case p.flags&flagSyn != 0:
		u.opening(p)
		if f == nil {
			f = &served{}
			u.flows[p.source] = f
		}
		f.echo = p.echo
		request := *p
		u.greet(&request, f, repeatAfter)
	case f == nil:
		if p.flags&flagReset == 0 {
			u.site.stray(u, p)
			u.reply(p, &served{}, flagReset, nil)
		}
	case p.ack != uint32(u.number):
		// The caller opened the flow at another upstream.
		u.site.stray(u, p)
	case p.flags&(flagFin|flagReset) != 0:
		delete(u.flows, p.source)
	case len(p.data) == requestBytes:
		f.echo, f.open = p.echo, true
		u.reply(p, f, flagAck, nil)
		u.request(p, f)
	}
}

// greet answers an opening, again and again until the caller acknowledges.
func (u *upstream) greet(p *packet, f *served, again time.Duration) {
	u.reply(p, f, flagSyn|flagAck, nil)
	time.AfterFunc(again, func() {
		u.mu.Lock()
		defer u.mu.Unlock()
		if !f.open && u.flows[p.source] == f && again < giveUp {
			u.greet(p, f, 2*again)
		}
	})
}

// opening checks what may not be opened here.
func (u *upstream) opening(p *packet) {
	now := time.Now()
	j := u.site.journal
	if service, ok := u.site.serviceEver(p.destination); !ok || service != u.service {
		j.broke(promiseRoute, "%s of %s got an opening for %s", u.id, u.service, p.destination)
	}
	if !u.draining.IsZero() && now.Sub(u.draining) > drainBound+scheduleSlack && j.settled(drainBound) {
		j.broke(promiseDrain, "%s got an opening %s after its drain", u.id, now.Sub(u.draining))
	}
	if out := u.site.outSince(u.dataCentre); !out.IsZero() && now.Sub(out) > outBound+scheduleSlack && j.settled(outBound) {
		j.broke(promiseOut, "%s got an opening %s after %s was taken out", u.id, now.Sub(out), u.dataCentre)
	}
	if now.Before(u.cold) {
		u.coldOpening(now)
	}
}

// coldOpening counts an opening while the upstream is cold.
func (u *upstream) coldOpening(now time.Time) {
	u.openings = append(u.openings, now)
	n := 0
	for _, o := range u.openings {
		if now.Sub(o) < time.Second {
			n++
		}
	}
	if bound := coldPerSecond*coldOverage + coldSlack; float64(n) > bound {
		u.site.journal.broke(promiseCold, "%s got %d openings in a second while cold, bound %.0f", u.id, n, bound)
	}
}

// request runs a request once a slot is free.
func (u *upstream) request(p *packet, f *served) {
	id := binary.BigEndian.Uint64(p.data)
	if u.ran[id] {
		return
	}
	if u.busy >= upstreamSlots && len(u.queue) >= upstreamQueue {
		return
	}
	u.ran[id] = true
	u.site.run(u, id)
	request := *p
	run := func() {
		u.busy++
		time.AfterFunc(upstreamWork/2+time.Duration(rand.Int64N(int64(upstreamWork))), func() {
			u.mu.Lock()
			defer u.mu.Unlock()
			u.busy--
			u.reply(&request, f, flagAck, append(request.data[:8:8], byte(u.number), byte(u.number>>8)))
			if len(u.queue) > 0 {
				next := u.queue[0]
				u.queue = u.queue[1:]
				next()
			}
		})
	}
	if u.busy < upstreamSlots {
		run()
	} else {
		u.queue = append(u.queue, run)
	}
}

// reply sends a packet straight to the caller.
func (u *upstream) reply(p *packet, f *served, flags byte, data []byte) {
	if u.crashed.Load() {
		return
	}
	answer := packet{echo: f.echo, source: p.destination, destination: p.source, flags: flags, ack: uint32(u.number), data: data}
	// A closed socket means that the run is over.
	_, _ = u.socket.WriteToUDPAddrPort(answer.encode(), netip.AddrPortFrom(p.source.Addr(), callerPort))
}
