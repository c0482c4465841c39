package command

import (
	"bytes"
	"strings"
	"testing"
)

func TestDemoMisuse(t *testing.T) {
	for expected, args := range map[string][]string{
		`no event "flood"`:     {"--event", "flood"},
		`no deployment "lima"`: {"--deployment", "lima"},
		"a duration of at":     {"--duration", "1ms"},
		"no arguments":         {"now"},
	} {
		var out, err bytes.Buffer
		code := run(t.Context(), "v", append([]string{"demo"}, args...), output{out: &out, err: &err})
		if code != exitUsage || !strings.Contains(err.String(), expected) || out.Len() > 0 {
			t.Errorf("%v: exit code %d, %s", args, code, err.String())
		}
	}
}
