package ticker

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

func TestEvery(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second+time.Millisecond)
		defer cancel()
		n := 0
		err := Every(ctx, time.Second, func(context.Context) {
			n++
			if n == 3 {
				time.Sleep(2500 * time.Millisecond)
			}
		})
		// The third call lasts over two further periods, of which one is kept.
		if err != nil || n != 9 {
			t.Errorf("got %d calls and %v, want 9 and no error", n, err)
		}
	})
}
