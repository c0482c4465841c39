package upstream

// HistoryLength returns the number of recorded states that a lagging status
// endpoint can report.
func (u *Upstream) HistoryLength() int {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	return len(u.status.history)
}
