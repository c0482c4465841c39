package soak

import (
	"context"
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"
)

// SOAK_BROKEN=1 runs the soak against deliberately broken programs.
const brokenVariable = "SOAK_BROKEN"

func build(t *testing.T, overlay map[string]string) string {
	t.Helper()
	dir := t.TempDir()
	program := filepath.Join(dir, "chervilhaven-platform")
	content, err := json.Marshal(map[string]any{"Replace": overlay})
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(dir, "overlay.json")
	if err := os.WriteFile(file, content, 0o600); err != nil {
		t.Fatal(err)
	}
	c := exec.Command("go", "build", "-overlay", file, "-o", program, "./cmd/chervilhaven-platform")
	c.Dir = "../.."
	if out, err := c.CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return program
}

// change returns the overlay that replaces text in a file of the repository.
func change(t *testing.T, file, from, to string) map[string]string {
	t.Helper()
	path, err := filepath.Abs(filepath.Join("../..", file))
	if err != nil {
		t.Fatal(err)
	}
	content, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(string(content), from) {
		t.Fatalf("%s does not contain %q", file, from)
	}
	changed := filepath.Join(t.TempDir(), filepath.Base(file))
	if err := os.WriteFile(changed, []byte(strings.Replace(string(content), from, to, 1)), 0o600); err != nil {
		t.Fatal(err)
	}
	return map[string]string{path: changed}
}

// rates of the load: a cold upstream is flooded only under more of it.
const (
	usualRate = 60
	heavyRate = 500
)

func run(t *testing.T, program string, d time.Duration, seed uint64, rate float64, only ...string) Result {
	t.Helper()
	r, err := Run(context.Background(), Config{
		Seed: seed, Duration: d, Processes: 4, Rate: rate, Program: program, Dir: t.TempDir(), Only: only,
		Log: t.Logf,
	})
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// A short run of a fixed seed; make soak plays longer ones.
func TestShortSoakKeepsAllPromises(t *testing.T) {
	r := run(t, build(t, nil), 35*time.Second, 4, usualRate)
	for _, b := range r.Breaks {
		t.Error(b)
	}
	if r.Answered < r.Flows/2 {
		t.Errorf("%d of %d flows answered", r.Answered, r.Flows)
	}
}

// Each check fails on a program that breaks its promise.
func TestBrokenProgramsAreFound(t *testing.T) {
	if os.Getenv(brokenVariable) == "" {
		t.Skip("set " + brokenVariable + "=1: each case takes half a minute")
	}
	const stateOf = "case u.clash, u.info.Draining, rt.out[u.info.DataCentre]:"
	cases := []struct{ promise, file, from, to, only string }{
		{promiseDrain, "internal/tokenrouter/upstream.go", stateOf, "case u.clash, rt.out[u.info.DataCentre]:", "upstream drains"},
		{promiseOut, "internal/tokenrouter/upstream.go", stateOf, "case u.clash, u.info.Draining:", "data centre out"},
		{promiseCold, "internal/scheduler/scheduler.go", "u.coldUntil = now.Add(info.ColdFor)", "u.coldUntil = now", "upstream drains"},
		{promiseConfig, "internal/tokenrouter/upstream.go", "rt.routes = routeTable(c.Routes)", "if rt.routes == nil {\n\t\trt.routes = routeTable(c.Routes)\n\t}", "route added"},
		{promiseRoute, "internal/tokenrouter/choose.go", "Service: o.route.Service, Group", "Service: func() string {\n\t\tfor s := range rt.services {\n\t\t\treturn s\n\t\t}\n\t\treturn \"\"\n\t}(), Group", "route added"},
		{promiseFlow, "internal/tokenrouter/opening.go", "func (rt *Router) forward(u *upstream, p *Packet) {", "func (rt *Router) forward(u *upstream, p *Packet) {\n\tfor _, u = range rt.upstreams.byNumber {\n\t\tbreak\n\t}", "route added"},
		{promiseUnasked, "platform/packet.go", "b = append(b, raw...)", "b = append(b, raw...)\n\tb[len(b)-1]++", "route added"},
		{promiseMixed, "platform/packet.go", "head[flagsAt] = flagReset", "head[flagsAt] = flagAck", "route added"},
		{promiseShutdown, "platform/run.go", "drainShare = 0.4", "drainShare = 4", "stop one"},
		{promiseRecovery, "internal/tokenrouter/choose.go", "func (rt *Router) offer(now time.Time, o *opening, number uint64) {", "func (rt *Router) offer(now time.Time, o *opening, number uint64) {\n\tif now.Sub(rt.started) > 20*time.Second {\n\t\treturn\n\t}", "route added"},
	}
	for _, c := range cases {
		t.Run(c.promise, func(t *testing.T) {
			rate := float64(usualRate)
			if c.promise == promiseCold {
				rate = heavyRate
			}
			r := run(t, build(t, change(t, c.file, c.from, c.to)), 40*time.Second, 1, rate, c.only, "route removed")
			if !slices.ContainsFunc(r.Breaks, func(b Break) bool { return b.Promise == c.promise }) {
				t.Errorf("the broken program was not found; breaks %v", r.Breaks)
			}
		})
	}
}
