package main

import (
	"sync"
	"time"
)

const (
	// evacuationTime is the time for which a zone is evacuated.
	evacuationTime = 5 * time.Second
	// restartBefore is the time from the start of the zone's endpoints to the end of the
	// evacuation.
	restartBefore = 200 * time.Millisecond
	// firstWriteLateBy is how much later the store does the first write of one of them.
	firstWriteLateBy = 3 * time.Second
	evacuated        = "zone-a"
)

// playEvacuation evacuates a zone. Its endpoints start again shortly before they are taken
// back, and the store does the first write of one of them late.
func playEvacuation(r *record, trouble string) (int, error) {
	b, err := newBed(r, []string{evacuated, "zone-b"}, 2, 2)
	if err != nil {
		return failed, err
	}
	defer b.stop()
	count := watchCold(b)
	if err := b.start(); err != nil {
		return failed, err
	}
	end := time.Now().Add(16 * time.Second)
	var clients sync.WaitGroup
	for _, c := range b.clients {
		clients.Go(func() { c.load(rate, end) })
	}
	time.Sleep(3 * time.Second)
	r.line("operator evacuates %s", evacuated)
	b.store.put("op/evacuate/"+evacuated, []byte("{}"))
	time.Sleep(evacuationTime - restartBefore)
	lost := trouble != withoutTrouble
	for _, e := range b.endpoints {
		if e.zone != evacuated {
			continue
		}
		e.crash()
		if lost {
			e.loseWrite(firstWriteLateBy, func() {})
			lost = false
		}
		if err := e.start(true); err != nil {
			return failed, err
		}
	}
	time.Sleep(restartBefore)
	r.line("operator takes %s back", evacuated)
	b.store.remove("op/evacuate/" + evacuated)
	clients.Wait()
	return count.verdict(b), nil
}
