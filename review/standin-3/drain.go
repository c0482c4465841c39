package main

import (
	"encoding/json"
	"sync"
	"time"
)

const (
	// drainTimeout is a bound of the deployment.
	drainTimeout = 3 * time.Second
	// otherWriterAfter is the time from the acknowledgement of the drain to the entry of the
	// other writer, which is 0.1 s after a heartbeat of the endpoint.
	otherWriterAfter = 3*heartbeat + heartbeat/12
	// drainTime is the time for which the endpoint drains before it leaves.
	drainTime = 7 * time.Second
)

// drainCount counts the opening packets that a draining endpoint takes too late.
type drainCount struct {
	mu           sync.Mutex
	acknowledged time.Time
	early, late  int
}

func (c *drainCount) noteTaken(e *endpoint, k flowKey, _ bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch since := time.Since(c.acknowledged); {
	case c.acknowledged.IsZero():
	case since > drainTimeout:
		c.late++
		e.record.line("broken: %s takes the opening packet of %s %.3f s after its drain was acknowledged", e.id, k.client, since.Seconds())
	default:
		c.early++
	}
}

// drain makes the endpoint report that it drains, and returns when the store has accepted that.
func (e *endpoint) drain() {
	e.mu.Lock()
	e.draining = true
	stop := e.stop
	e.mu.Unlock()
	e.announce()
	go func() {
		select {
		case <-time.After(drainTime):
		case <-stop:
			return
		}
		e.crash()
		e.store.remove("servers/" + e.id)
	}()
}

// playDrain drains an endpoint. Another writer writes its entry once, as it was before the
// drain, and without the time of its start.
func playDrain(r *record, trouble string) (int, error) {
	b, err := newBed(r, []string{"zone-a", "zone-b"}, 2, 2)
	if err != nil {
		return failed, err
	}
	defer b.stop()
	count, leaving := &drainCount{}, b.endpoints[0]
	leaving.taken = count.noteTaken
	if err := b.start(); err != nil {
		return failed, err
	}
	end := time.Now().Add(15 * time.Second)
	var clients sync.WaitGroup
	for _, c := range b.clients {
		clients.Go(func() { c.load(rate, end) })
	}
	time.Sleep(4 * time.Second)
	var entry map[string]any
	if err := json.Unmarshal(leaving.entry(), &entry); err != nil {
		return failed, err
	}
	delete(entry, "born")
	leaving.alignHeartbeat()
	leaving.drain()
	count.mu.Lock()
	count.acknowledged = time.Now()
	count.mu.Unlock()
	r.line("store accepts that %s drains", leaving.id)
	time.Sleep(otherWriterAfter)
	if trouble != withoutTrouble {
		value, _ := json.Marshal(entry)
		r.line("another writer writes the entry of %s: %s", leaving.id, value)
		b.store.put("servers/"+leaving.id, value)
	}
	clients.Wait()
	answered, lost := int64(0), int64(0)
	for _, c := range b.clients {
		answered, lost = answered+c.answered.Load(), lost+c.failed.Load()
	}
	r.line("%d requests answered, %d not; the draining endpoint took %d opening packets in time and %d too late", answered, lost, count.early, count.late)
	switch {
	case answered < 1000:
		return failed, nil
	case count.late > 0:
		return broken, nil
	default:
		return held, nil
	}
}

// alignHeartbeat waits until the endpoint has just written its entry.
func (e *endpoint) alignHeartbeat() {
	e.mu.Lock()
	last := e.lastWrite
	e.mu.Unlock()
	time.Sleep(time.Until(last.Add(heartbeat + heartbeat/24)))
}
