package token

import "testing"

func TestTokenIsTheSameEverywhereAndNeverZero(t *testing.T) {
	seen := make(map[Token]bool)
	for number := range uint64(10000) {
		a := Of(number)
		if a == 0 || a != Of(number) {
			t.Fatalf("token of %d is %d", number, a)
		}
		seen[a] = true
	}
	if len(seen) < 9990 {
		t.Errorf("%d tokens for 10000 upstreams", len(seen))
	}
}
