package token

import "testing"

func TestOfIsDeterministicAndNeverZero(t *testing.T) {
	seen := make(map[Token]bool)
	for number := range uint64(10000) {
		a := Of(number)
		if a == 0 || a != Of(number) {
			t.Fatalf("token of %d is %d: zero or different on a second call", number, a)
		}
		seen[a] = true
	}
	if len(seen) < 9990 {
		t.Errorf("%d distinct tokens for 10000 upstreams, want at least 9990", len(seen))
	}
}
