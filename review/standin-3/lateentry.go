package main

import (
	"sync"
	"time"
)

const (
	// lateBy is how much later the store does the write whose answer is lost.
	lateBy = 3600 * time.Millisecond
	// crashAfter and backAfter count from that write.
	crashAfter = 300 * time.Millisecond
	backAfter  = 3400 * time.Millisecond
	// coldOverage and coldSlack are bounds of the deployment.
	coldOverage = 1.5
	coldSlack   = 5
	// rate is the number of requests a second in each zone.
	rate = 60
)

// arrival is an opening packet that a cold endpoint took.
type arrival struct{ sent, taken time.Time }

// coldCount counts the opening packets that cold endpoints take.
type coldCount struct {
	mu       sync.Mutex
	sent     map[flowKey]time.Time
	arrivals map[*endpoint][]arrival
}

func (c *coldCount) noteSent(k flowKey) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent[k] = time.Now()
}

func (c *coldCount) noteTaken(e *endpoint, k flowKey, cold bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if cold {
		c.arrivals[e] = append(c.arrivals[e], arrival{c.sent[k], time.Now()})
	}
}

// most returns the largest number of requests that were sent and arrived within one second.
func (c *coldCount) most() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	most := 0
	for _, list := range c.arrivals {
		for _, first := range list {
			n := 0
			for _, a := range list {
				if !a.sent.Before(first.sent) && a.taken.Before(first.sent.Add(time.Second)) {
					n++
				}
			}
			most = max(most, n)
		}
	}
	return most
}

// watchCold counts what the cold endpoints of a deployment get.
func watchCold(b *bed) *coldCount {
	count := &coldCount{sent: make(map[flowKey]time.Time), arrivals: make(map[*endpoint][]arrival)}
	for _, e := range b.endpoints {
		e.taken = count.noteTaken
	}
	for _, c := range b.clients {
		c.sent = count.noteSent
	}
	return count
}

// verdict compares the count with the bound.
func (c *coldCount) verdict(b *bed) int {
	answered, lost := int64(0), int64(0)
	for _, c := range b.clients {
		answered, lost = answered+c.answered.Load(), lost+c.failed.Load()
	}
	most, bound := c.most(), b.coldPerS*coldOverage+coldSlack
	b.record.line("%d requests answered, %d not; a cold endpoint got %d requests in one second at most, the bound is %.1f", answered, lost, most, bound)
	switch {
	case answered < 1000:
		return failed
	case float64(most) > bound:
		return broken
	default:
		return held
	}
}

// playLateEntry crashes an endpoint that starts again under its id, while the store does one
// of its writes late: an entry of the process of before replaces that of the cold one.
func playLateEntry(r *record, trouble string) (int, error) {
	b, err := newBed(r, []string{"zone-a", "zone-b"}, 2, 2)
	if err != nil {
		return failed, err
	}
	defer b.stop()
	count := watchCold(b)
	if err := b.start(); err != nil {
		return failed, err
	}
	end := time.Now().Add(15 * time.Second)
	var clients sync.WaitGroup
	for _, c := range b.clients {
		clients.Go(func() { c.load(rate, end) })
	}
	time.Sleep(5 * time.Second)
	if trouble != withoutTrouble {
		if err := crashAndReturn(b.endpoints[0], trouble != "crash"); err != nil {
			return failed, err
		}
	}
	clients.Wait()
	return count.verdict(b), nil
}

// crashAndReturn crashes an endpoint after its next write and starts it again. With late set,
// the store does that write after the endpoint has started.
func crashAndReturn(e *endpoint, late bool) error {
	wrote := make(chan struct{})
	by := time.Duration(0)
	if late {
		by = lateBy
	}
	e.loseWrite(by, func() { close(wrote) })
	<-wrote
	time.Sleep(crashAfter)
	e.crash()
	time.Sleep(backAfter - crashAfter)
	return e.start(true)
}

// loseWrite makes the store give no answer to the next write of the endpoint, and do it
// later by a time. wrote is called when the endpoint writes.
func (e *endpoint) loseWrite(by time.Duration, wrote func()) {
	var once sync.Once
	e.mu.Lock()
	defer e.mu.Unlock()
	e.write = func(e *endpoint, value []byte) {
		first := false
		once.Do(func() { first = true })
		if !first || by == 0 {
			e.record.line("store does a write of %s: %s", e.id, value)
			e.put(value)
		} else {
			e.record.line("store gives no answer to a write of %s: %s", e.id, value)
			time.AfterFunc(by, func() {
				e.record.line("store does the late write of %s: %s", e.id, value)
				e.put(value)
			})
		}
		if first {
			wrote()
		}
	}
}
