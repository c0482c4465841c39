package main

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"
)

const (
	// flowsPerZone is the number of flows that the clients of a zone keep open.
	flowsPerZone = 150
	// flowLife and flowPause are the average length of a flow and of a pause between its
	// requests.
	flowLife  = 3 * time.Second
	flowPause = 600 * time.Millisecond
	// lossShare is the share of the endpoints' datagrams that get lost on the way to clients.
	lossShare = 0.01
	playTime  = 40 * time.Second
	// exchangeTime is the time after which a client gives up a request.
	exchangeTime = 4 * time.Second
)

// flowJudge follows at which endpoint each flow is open.
type flowJudge struct {
	mu     sync.Mutex
	record *record
	owner  map[flowKey]*endpoint
	closed map[flowKey]bool
	broken int
}

func (j *flowJudge) opened(e *endpoint, k flowKey) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.owner[k] = e
	j.record.line("%s is open at %s", k.client, e.id)
}

// reset counts a reset of an open flow by another endpoint than its own.
func (j *flowJudge) reset(e *endpoint, k flowKey) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if own := j.owner[k]; own != nil && own != e && !j.closed[k] {
		j.broken++
		j.record.line("broken: %s is open at %s and %s resets it", k.client, own.id, e.id)
	}
}

func (j *flowJudge) end(k flowKey) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.closed[k] = true
}

// playOpenFlow lets clients send requests on flows that stay open. No machine and no endpoint
// is disturbed; now and then a datagram gets lost.
func playOpenFlow(r *record, trouble string) (int, error) {
	b, err := newBed(r, []string{"zone-a", "zone-b"}, 2, 3)
	if err != nil {
		return failed, err
	}
	defer b.stop()
	j := &flowJudge{record: r, owner: make(map[flowKey]*endpoint), closed: make(map[flowKey]bool)}
	for _, e := range b.endpoints {
		e.opened, e.reset = j.opened, j.reset
		e.loses = func() bool { return trouble != withoutTrouble && rand.Float64() < lossShare }
	}
	if err := b.start(); err != nil {
		return failed, err
	}
	end := time.Now().Add(playTime)
	var clients sync.WaitGroup
	for _, c := range b.clients {
		for range flowsPerZone {
			clients.Go(func() {
				time.Sleep(rand.N(flowLife))
				for time.Now().Before(end) {
					c.keepOpen(j, time.Now().Add(flowLife/2+rand.N(flowLife)))
				}
			})
		}
	}
	clients.Wait()
	answered, lost := int64(0), int64(0)
	for _, c := range b.clients {
		answered, lost = answered+c.answered.Load(), lost+c.failed.Load()
	}
	r.line("%d requests answered, %d not; of %d flows %d were reset by another endpoint than their own", answered, lost, len(j.owner), j.broken)
	switch {
	case j.broken > 0:
		return broken, nil
	case answered < 1000:
		return failed, nil
	default:
		return held, nil
	}
}

// keepOpen sends requests on one flow until a time, with pauses between them.
func (c *client) keepOpen(j *flowJudge, until time.Time) {
	port, packets := c.open()
	defer c.close(port)
	k := flowKey{netip.AddrPortFrom(c.ip, port), c.route}
	defer j.end(k)
	sequence := rand.Uint32()
	c.record.line("client sends the opening packet of %s", k.client)
	first, ok := c.handshake(k, packets, sequence, time.Now())
	if !ok {
		c.failed.Add(1)
		c.record.line("client gives up %s: not opened", k.client)
		return
	}
	p := packet{source: k.client, destination: k.service, flags: flagAck, sequence: sequence + 1, acknowledge: first.sequence + 1, echo: first.echo}
	for n := 0; time.Now().Before(until); n++ {
		p.data = fmt.Appendf(nil, "request %d of %s", n, k.client)
		if !c.exchange(k, &p, packets) {
			c.failed.Add(1)
			return
		}
		c.answered.Add(1)
		if !c.pause(k, &p, packets) {
			return
		}
	}
	p.flags, p.data = flagAck|flagFin, nil
	c.router.send(k, p.append(nil))
}

// pause waits until the next request of a flow. It returns false if the flow is reset.
func (c *client) pause(k flowKey, p *packet, packets chan packet) bool {
	end := time.After(flowPause/2 + rand.N(flowPause))
	for {
		select {
		case in := <-packets:
			p.echo = in.echo
			if in.flags&flagReset != 0 {
				c.record.line("client gets a reset of %s", k.client)
				return false
			}
		case <-end:
			return true
		}
	}
}

// exchange sends a request on a flow and waits for its answer.
func (c *client) exchange(k flowKey, p *packet, packets chan packet) bool {
	start, wait := time.Now(), firstRetransmit
	for time.Since(start) < exchangeTime {
		c.router.send(k, p.append(nil))
		if answered, open := c.await(k, p, packets, time.After(wait)); answered || !open {
			return answered
		}
		wait = min(2*wait, longestRetransmit)
	}
	c.record.line("client gives up %s: no answer", k.client)
	return false
}

// await waits for the answer to a request, and acknowledges it.
func (c *client) await(k flowKey, p *packet, packets chan packet, timer <-chan time.Time) (answered, open bool) {
	for {
		select {
		case in := <-packets:
			p.echo = in.echo
			if in.flags&flagReset != 0 {
				c.record.line("client gets a reset of %s", k.client)
				return false, false
			}
			if len(in.data) > 0 && in.sequence == p.acknowledge {
				p.acknowledge += uint32(len(in.data))
				p.sequence += uint32(len(p.data))
				c.router.send(k, (&packet{source: k.client, destination: k.service, flags: flagAck, sequence: p.sequence, acknowledge: p.acknowledge, echo: p.echo}).append(nil))
				return true, true
			}
		case <-timer:
			return false, true
		}
	}
}
