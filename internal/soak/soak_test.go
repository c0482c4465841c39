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

// SOAK_BROKEN=1 enables the runs against deliberately broken programs.
const brokenProgramsVariable = "SOAK_BROKEN"

// buildProgram builds chervilhaven-platform with some source files replaced and
// returns the path of the binary.
func buildProgram(t *testing.T, overlay map[string]string) string {
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

// mutate returns a build overlay in which the first occurrence of from in a file of
// the repository is replaced by to.
func mutate(t *testing.T, file, from, to string) map[string]string {
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

// Flows per second. At normalRate, a cold upstream receives too few flows to reach
// its limit.
const (
	normalRate = 60
	floodRate  = 500
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

// Checks all guarantees in one short run with a fixed seed. The make target soak
// starts longer runs with more seeds.
func TestShortSoakKeepsAllPromises(t *testing.T) {
	r := run(t, buildProgram(t, nil), 35*time.Second, 4, normalRate)
	for _, v := range r.Violations {
		t.Error(v)
	}
	if r.Answered < r.Flows/2 {
		t.Errorf("%d of %d flows answered, want at least half", r.Answered, r.Flows)
	}
}

// Verifies that each check detects a program that violates its guarantee, so that a
// clean run is not due to a check that never fails.
func TestBrokenProgramsAreFound(t *testing.T) {
	if os.Getenv(brokenProgramsVariable) == "" {
		t.Skip("set " + brokenProgramsVariable + "=1: each case takes half a minute")
	}
	const stateCases = "case u.clash, u.info.Draining, rt.out[u.info.DataCentre]:"
	cases := []struct {
		guarantee, file, from, to string
		only                      []string
	}{
		{guaranteeDrain, "internal/tokenrouter/upstream.go", stateCases, "case u.clash, rt.out[u.info.DataCentre]:", []string{"upstream drains", "route removed"}},
		{guaranteeDataCentreOut, "internal/tokenrouter/upstream.go", stateCases, "case u.clash, u.info.Draining:", []string{"data centre out", "route removed"}},
		{guaranteeCold, "internal/scheduler/scheduler.go", "u.coldUntil = now.Add(info.ColdFor)", "u.coldUntil = now", []string{"upstream drains", "route removed"}},
		{guaranteeConfiguration, "internal/tokenrouter/upstream.go", "rt.routes = routeTable(c.Routes)", "if rt.routes == nil {\n\t\trt.routes = routeTable(c.Routes)\n\t}", []string{"route added", "route removed"}},
		{guaranteeRoute, "internal/tokenrouter/choose.go", "Service: o.route.Service, Group", "Service: func() string {\n\t\tfor _, r := range rt.routes {\n\t\t\treturn r.Service\n\t\t}\n\t\treturn \"\"\n\t}(), Group", []string{"route added", "route removed"}},
		{guaranteeFlow, "internal/tokenrouter/opening.go", "func (rt *Router) forward(u *upstream, p *Packet) {", "func (rt *Router) forward(u *upstream, p *Packet) {\n\tfor _, u = range rt.upstreams.byNumber {\n\t\tbreak\n\t}", []string{"route added", "route removed"}},
		{guaranteeUnasked, "platform/packet.go", "b = append(b, raw...)", "b = append(b, raw...)\n\tb[len(b)-1]++", []string{"route added", "route removed"}},
		{guaranteeMixed, "platform/packet.go", "head[flagsAt] = flagReset", "head[flagsAt] = flagAck", []string{"route added", "route removed"}},
		{guaranteeShutdown, "platform/run.go", "drainShare = 0.4", "drainShare = 4", []string{"stop one", "route removed"}},
		{guaranteeRegress, "internal/catalog/catalog.go", "newer := i.Configuration != nil && cmp.Or(cmp.Compare(i.Configuration.Version, held.Configuration.Version), cmp.Compare(i.Revision, held.Revision)) > 0", "newer := i.Configuration != nil", []string{"store restored", "route added"}},
		{guaranteeReach, "internal/tokenrouter/reach.go", "rt.emit(Effect{Kind: Refuse,", "_ = (Effect{Kind: Refuse,", []string{"upstream falls silent", "route removed"}},
		{guaranteeUrgent, "internal/tokenrouter/admission.go", "t.Request.Urgent = t.Priority < rt.leastUrgent[t.Request.Service]", "t.Priority, t.Request.Urgent = -t.Priority, t.Priority == rt.leastUrgent[t.Request.Service]", []string{"pressure", "route removed"}},
		{guaranteeRecovery, "internal/tokenrouter/choose.go", "func (rt *Router) offer(now time.Time, o *opening, number uint64) {", "func (rt *Router) offer(now time.Time, o *opening, number uint64) {\n\tif now.Sub(rt.started) > 20*time.Second {\n\t\treturn\n\t}", []string{"route added", "route removed"}},
	}
	for _, c := range cases {
		t.Run(c.guarantee, func(t *testing.T) {
			rate, duration := float64(normalRate), 40*time.Second
			if slices.Contains(c.only, "store restored") {
				// Restores are faults, which only every other phase has.
				duration = 70 * time.Second
			}
			if c.guarantee == guaranteeCold {
				rate = floodRate
			}
			r := run(t, buildProgram(t, mutate(t, c.file, c.from, c.to)), duration, 1, rate, c.only...)
			if !slices.ContainsFunc(r.Violations, func(v Violation) bool { return v.Guarantee == c.guarantee }) {
				t.Errorf("the violation was not detected, got %v", r.Violations)
			}
		})
	}
}
