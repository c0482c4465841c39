package upstream

import (
	"slices"
	"sync"
	"time"

	"github.com/chervilhaven/chervilhaven/internal/standin/request"
)

// maxSlowdown bounds how much slower an overloaded upstream works.
const maxSlowdown = 10

// RunCounter records which requests were run in a deployment. The zero value is
// ready to use.
type RunCounter struct {
	mutex sync.Mutex
	runs  map[uint64]int
}

// Record records a run of the request and returns the number of runs so far.
func (c *RunCounter) Record(id uint64) int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.runs == nil {
		c.runs = make(map[uint64]int)
	}
	c.runs[id]++
	return c.runs[id]
}

// RunCount returns the number of runs of the request.
func (c *RunCounter) RunCount(id uint64) int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.runs[id]
}

// job is a request of a flow.
type job struct {
	flow       flowKey
	request    request.Request
	receivedAt time.Time
}

// enqueue starts the job if a slot is free, else lets it wait.
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

// serviceTime returns how long a slot is taken; overload slows the work down.
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

// expireJobs answers jobs whose deadline passed before they were run.
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

// cancelQueuedJobs removes the jobs of a flow that wait for a slot.
func (u *Upstream) cancelQueuedJobs(k flowKey) {
	u.queue = slices.DeleteFunc(u.queue, func(j *job) bool { return j.flow == k })
}
