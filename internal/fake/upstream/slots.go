package upstream

import (
	"slices"
	"sync"
	"time"

	"github.com/chervilhaven/chervilhaven/internal/fake/request"
)

// maxSlowdown bounds the factor by which overload extends the service time of a
// request.
const maxSlowdown = 10

// RunCounter counts how often each request was run by any upstream of a
// deployment. The zero value is ready to use. It is safe for concurrent use.
type RunCounter struct {
	mutex sync.Mutex
	runs  map[uint64]int
}

// Record counts one run of the request and returns the number of its runs so
// far.
func (c *RunCounter) Record(id uint64) int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.runs == nil {
		c.runs = make(map[uint64]int)
	}
	c.runs[id]++
	return c.runs[id]
}

// RunCount returns the number of times that the request was run.
func (c *RunCounter) RunCount(id uint64) int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.runs[id]
}

// job is a request that occupies a slot or waits for one.
type job struct {
	flow       flowKey
	request    request.Request
	receivedAt time.Time
}

// enqueue appends the job to the queue and starts it if a slot is free.
func (u *Upstream) enqueue(j *job) {
	u.queue = append(u.queue, j)
	u.startQueuedJobs()
}

func (u *Upstream) startQueuedJobs() {
	for u.busySlots < u.config.Slots && len(u.queue) > 0 {
		j := u.queue[0]
		u.queue = u.queue[1:]
		u.busySlots++
		u.counts.Requests++
		if u.config.RunCounter.Record(j.request.ID) > 1 && j.request.Once {
			u.counts.Duplicated++
		}
		time.AfterFunc(u.serviceTime(j.request), func() { u.finishJob(j) })
	}
	if len(u.queue) == 0 {
		u.queue = nil
	}
}

// serviceTime returns how long the request occupies a slot. Above the flow
// limit, the request's work time is multiplied by the ratio of open flows to
// the limit, at most by maxSlowdown.
func (u *Upstream) serviceTime(r request.Request) time.Duration {
	factor := min(max(1, float64(u.openFlows)/float64(max(1, u.flowLimit))), maxSlowdown)
	return time.Duration(float64(r.Work) * factor)
}

func (u *Upstream) finishJob(j *job) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	now := time.Now()
	u.busySlots--
	u.respondTo(now, j, request.Completed)
	u.startQueuedJobs()
}

func (u *Upstream) respondTo(now time.Time, j *job, status request.Status) {
	f, ok := u.flows[j.flow]
	if !ok || !f.closedAt.IsZero() {
		return
	}
	u.queueBytes(now, j.flow, f, j.request.EncodeResponse(status))
}

// expireJobs removes queued jobs whose deadline has passed and responds that
// they expired.
func (u *Upstream) expireJobs(now time.Time) {
	u.queue = slices.DeleteFunc(u.queue, func(j *job) bool {
		if j.request.Deadline == 0 || now.Sub(j.receivedAt) < j.request.Deadline {
			return false
		}
		u.counts.Expired++
		u.respondTo(now, j, request.Expired)
		return true
	})
}

// cancelQueuedJobs removes the queued jobs of a flow; running ones continue.
func (u *Upstream) cancelQueuedJobs(k flowKey) {
	u.queue = slices.DeleteFunc(u.queue, func(j *job) bool { return j.flow == k })
}
