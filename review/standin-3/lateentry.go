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

// playLateEntry crashes an endpoint that starts again under its id, while the store does one
// of its writes late: an entry of the process of before replaces that of the cold one.
func playLateEntry(r *record, trouble string) (int, error) {
	b, err := newBed(r, []string{"zone-a", "zone-b"}, 2, 2)
	if err != nil {
		return failed, err
	}
	defer b.stop()
	count := &coldCount{sent: make(map[flowKey]time.Time), arrivals: make(map[*endpoint][]arrival)}
	for _, e := range b.endpoints {
		e.taken = count.noteTaken
	}
	for _, c := range b.clients {
		c.sent = count.noteSent
	}
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
		if err := crashAndReturn(r, b.endpoints[0], trouble != "crash"); err != nil {
			return failed, err
		}
	}
	clients.Wait()
	answered, lost := int64(0), int64(0)
	for _, c := range b.clients {
		answered, lost = answered+c.answered.Load(), lost+c.failed.Load()
	}
	most, bound := count.most(), b.coldPerS*coldOverage+coldSlack
	r.line("%d requests answered, %d not; a cold endpoint got %d requests in one second at most, the bound is %.1f", answered, lost, most, bound)
	switch {
	case answered < 1000:
		return failed, nil
	case float64(most) > bound:
		return broken, nil
	default:
		return held, nil
	}
}

// crashAndReturn lets the next write of an endpoint be done late, and crashes and starts the
// endpoint meanwhile. With lost unset that write is done at once.
func crashAndReturn(r *record, e *endpoint, lost bool) error {
	var once sync.Once
	wrote := make(chan struct{})
	e.mu.Lock()
	e.write = func(e *endpoint, value []byte) {
		first := false
		once.Do(func() { first = true })
		if first {
			close(wrote)
		}
		if !first || !lost {
			r.line("store does a write of %s: %s", e.id, value)
			e.put(value)
			return
		}
		r.line("store gives no answer to a write of %s: %s", e.id, value)
		time.AfterFunc(lateBy, func() {
			r.line("store does the late write of %s: %s", e.id, value)
			e.put(value)
		})
	}
	e.mu.Unlock()
	<-wrote
	time.Sleep(crashAfter)
	e.crash()
	time.Sleep(backAfter - crashAfter)
	return e.start(true)
}
