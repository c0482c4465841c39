package caller

import (
	"time"

	"github.com/chervilhaven/chervilhaven/internal/fake/request"
)

const (
	initialBackoff = 100 * time.Millisecond
	maxAttempts    = 8
)

// task is a sequence of requests that a caller wants answered. It may take
// several flows: refused flows and lost flows with idempotent requests are
// retried.
type task struct {
	class    int
	requests []request.Request
	// answered is the number of requests with a complete response.
	answered int
	// sent is the number of requests sent at least once.
	sent int
	// inTime is the number of responses that started within the class's bound.
	inTime    int
	arrivedAt time.Time
	attempts  int
	retryAt   time.Time
}

func (c *Caller) newTask(now time.Time, class int) *task {
	t := &task{class: class, arrivedAt: now}
	classConfig, random := c.config.Classes[class], c.arrivals[class].random
	for range max(1, classConfig.Requests) {
		c.requests++
		t.requests = append(t.requests, request.Request{
			ID:       c.config.Seed<<40 | c.requests,
			Work:     time.Duration((0.5 + random.Float64()) * float64(classConfig.Work)),
			Size:     classConfig.Size,
			Deadline: classConfig.Deadline,
			Once:     classConfig.Target.Once,
		})
	}
	c.result.Classes[class].Requests += len(t.requests)
	return t
}

// startDueRetries opens flows for the tasks whose backoff has passed.
func (c *Caller) startDueRetries(now time.Time) {
	pending := c.pendingRetries[:0]
	for _, t := range c.pendingRetries {
		if now.Before(t.retryAt) {
			pending = append(pending, t)
			continue
		}
		c.result.Retried++
		c.openFlow(now, t)
	}
	clear(c.pendingRetries[len(pending):])
	c.pendingRetries = pending
}

// scheduleRetry schedules a retry with exponential backoff and jitter, or
// abandons the task after maxAttempts.
func (c *Caller) scheduleRetry(now time.Time, t *task) {
	t.attempts++
	if t.attempts >= maxAttempts {
		c.abandon(t)
		return
	}
	backoff := initialBackoff << (t.attempts - 1)
	t.retryAt = now.Add(backoff/2 + time.Duration(c.random.Int64N(int64(backoff))))
	c.pendingRetries = append(c.pendingRetries, t)
}

// abandon gives up a task. Responses received in time still count towards the
// target unless the class also bounds the duration of the flow.
func (c *Caller) abandon(t *task) {
	c.result.Abandoned++
	if c.config.Classes[t.class].Target.FinishWithin == 0 {
		c.result.Classes[t.class].MetTarget += t.inTime
	}
}

// countCompleted counts a task whose requests are all answered.
func (c *Caller) countCompleted(now time.Time, t *task) {
	bound := c.config.Classes[t.class].Target.FinishWithin
	if bound == 0 || now.Sub(t.arrivedAt) <= bound {
		c.result.Classes[t.class].MetTarget += t.inTime
	}
}
