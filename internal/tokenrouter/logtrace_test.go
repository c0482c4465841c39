package tokenrouter

import (
	"strings"
	"testing"
	"time"
)

// find returns the first log line of an event whose field contains the text.
func (n *node) find(event, key, text string) *Line {
	for i := range n.lines {
		if l := &n.lines[i]; l.Event == event && strings.Contains(l.field(key), text) {
			return l
		}
	}
	return nil
}

func (l *Line) field(key string) string {
	for _, f := range l.Fields {
		if f.Key == key {
			return f.Value
		}
	}
	return ""
}

func (c *caller) id() string { return c.source.String() + "," + c.destination.String() }

// These tests follow the diagnosis procedures of docs/OPERATIONS.md step by step
// in the log lines, from the flow of a failed request to its cause.
func TestLogTraceOfFailedUpstream(t *testing.T) {
	w := newSmallFleet(t, 90)
	for _, u := range w.servers() {
		u.meanServiceTime = time.Second
	}
	n := w.nodes[0]
	c := w.call(deskRoute, n)
	w.advance(100 * time.Millisecond)
	u := w.upstreams[c.openedUpstream]
	u.alive = false
	w.unpublish(u)
	w.advance(3 * time.Second)
	placed := n.find("placed", "flow", c.id())
	if placed == nil {
		t.Fatal("step 1: no log line for the flow")
	}
	gone := n.find("upstream-gone", "upstream", placed.field("upstream"))
	if gone == nil || gone.field("draining") != "false" {
		t.Errorf("step 2: no log line reports the removal of %s", placed.field("upstream"))
	}
}

func TestLogTraceOfOverload(t *testing.T) {
	w := newSmallFleet(t, 91)
	for _, u := range w.servers() {
		u.meanServiceTime = 120 * time.Millisecond
	}
	list := w.load(400, 4*time.Second)
	w.advance(6 * time.Second)
	for _, c := range *list {
		if !c.answeredAt.IsZero() {
			continue
		}
		for _, n := range w.nodes {
			if l := n.find("abandoned", "flow", c.id()); l != nil && l.field("tried") == "" {
				for _, m := range w.nodes {
					if m.find("queued", "service", "desk") != nil {
						return
					}
				}
				t.Fatal("step 2: no instance logged that flows are queued")
			}
		}
	}
	t.Error("step 1: no queued flow was abandoned")
}

func TestLogTraceOfStaleCatalog(t *testing.T) {
	w := newSmallFleet(t, 92)
	stale := w.nodes[5]
	w.cutOff = func(a, b *node) bool { return a == stale || b == stale }
	stale.storeRefuses, stale.storeSilent = true, true
	w.advance(3 * time.Second)
	w.configure(2, w.store.items["configuration"].Configuration.Routes[0], routeTo(ledgerRoute))
	w.advance(time.Second)
	c := w.call(ledgerRoute, stale)
	w.advance(time.Second)
	line := stale.find("unrouted", "flow", c.id())
	if line == nil {
		t.Fatal("step 1: no log line for the flow")
	}
	newer := w.nodes[0].find("configuration-changed", "version", "2")
	if newer == nil || newer.field("revision") <= line.field("through") {
		t.Errorf("step 2: other instances did not log a revision newer than %s", line.field("through"))
	}
	if stale.find("store-failed", "error", "") == nil {
		t.Error("step 3: no log line reports that the store failed")
	}
}

// A whole catalog is logged in one line, a few changes one by one.
func TestWholeCatalogIsLoggedInOneLine(t *testing.T) {
	w := newWorld(t, 69)
	w.addNodes("a", 1)
	w.configure(1)
	w.addServers("a", 200, time.Millisecond)
	w.startAll()
	w.advance(time.Second)
	if n, all := w.countLines("upstream-changed"), w.countLines("items-changed"); n != 0 || all != 1 {
		t.Errorf("%d lines upstream-changed and %d items-changed for a whole catalog, want 0 and 1", n, all)
	}
	w.addServers("a", 1, time.Millisecond)
	w.advance(time.Second)
	if n := w.countLines("upstream-changed"); n != 1 {
		t.Errorf("%d lines upstream-changed for one change, want 1", n)
	}
}
