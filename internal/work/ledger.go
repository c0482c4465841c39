package work

import (
	"math"
	"time"
)

const (
	// averagingTime is the time over which the work under way is averaged: longer than
	// the time between the reports of an instance, short against the life of a flow.
	averagingTime = 500 * time.Millisecond
	// decayStep is the shortest time for which the average is brought up to date.
	decayStep = averagingTime / 100
	// overdueAfter is the age at which a report no longer stands for itself. Its open
	// flows are assumed to bring as much work as others.
	overdueAfter = 2500 * time.Millisecond
	// forgetAfter is the age at which a report is dropped: its flows pass through other
	// instances, or have ended.
	forgetAfter = 15 * time.Second
)

// Ledger is what all instances say of the open flows of one upstream. The zero value is
// empty and ready for use. S identifies a process of an instance. It is not safe for
// concurrent use.
type Ledger[S comparable] struct {
	reports map[S]report
	open    int
	// work is the average number of requests under way as of at.
	work float64
	at   time.Time
	// overdue is the number of open flows that only overdue reports name.
	overdue int
}

type report struct {
	total Total
	at    time.Time
}

// Increase is by how much a total exceeds the one before it of the same process.
type Increase struct {
	Ended   uint64
	Took    time.Duration
	Busy    time.Duration
	Answers uint64
	Early   uint64
}

// Record takes over the total of a process and returns its increase. The first total of a
// process gives none: it covers a time that is not known. Its requests under way stand for
// the average until there are more.
func (l *Ledger[S]) Record(now time.Time, source S, t Total) Increase {
	if l.reports == nil {
		l.reports = make(map[S]report)
	}
	last, known := l.reports[source]
	l.reports[source] = report{t, now}
	l.open += t.Open - last.total.Open
	if !known {
		l.decay(now)
		l.work += float64(t.UnderWay)
		return Increase{Answers: t.Answers, Early: t.Early}
	}
	if t.precedes(&last.total) {
		return Increase{}
	}
	more := Increase{
		Ended: t.Ended - last.total.Ended, Took: t.Took - last.total.Took, Busy: t.Busy - last.total.Busy,
		Answers: t.Answers, Early: t.Early,
	}
	l.decay(now)
	// Work is spread over the time since the last total, of which averagingTime counts.
	over := max(now.Sub(last.at), time.Millisecond)
	weight := float64(averagingTime) / float64(over) * -math.Expm1(-float64(over)/float64(averagingTime))
	l.work += weight * float64(more.Busy) / float64(averagingTime)
	return more
}

// precedes reports whether a total counts from a later start than the one before it, or is
// older.
func (t *Total) precedes(last *Total) bool {
	return t.Ended < last.Ended || t.Busy < last.Busy || t.Took < last.Took
}

func (l *Ledger[S]) decay(now time.Time) {
	if d := now.Sub(l.at); d >= decayStep {
		l.work *= math.Exp(-float64(d) / float64(averagingTime))
		l.at = now
	}
}

// Work returns the average number of requests under way in open flows. perFlow is the
// number that one open flow is assumed to bring where reports are overdue.
func (l *Ledger[S]) Work(now time.Time, perFlow float64) float64 {
	if len(l.reports) == 0 {
		return 0
	}
	l.decay(now)
	return l.work + float64(l.overdue)*perFlow
}

// Open returns the number of open flows.
func (l *Ledger[S]) Open() int { return l.open }

// Sources returns the processes that have reported open flows.
func (l *Ledger[S]) Sources() []S {
	var list []S
	for source, r := range l.reports {
		if r.total.Open > 0 {
			list = append(list, source)
		}
	}
	return list
}

// Sweep forgets old reports and finds the overdue ones.
func (l *Ledger[S]) Sweep(now time.Time) {
	l.overdue = 0
	for source, r := range l.reports {
		switch age := now.Sub(r.at); {
		case age > forgetAfter:
			l.Forget(source)
		case age > overdueAfter:
			l.overdue += r.total.Open
		}
	}
}

// Forget drops the report of a process that has ended.
func (l *Ledger[S]) Forget(source S) {
	r, ok := l.reports[source]
	if !ok {
		return
	}
	delete(l.reports, source)
	l.open -= r.total.Open
}
