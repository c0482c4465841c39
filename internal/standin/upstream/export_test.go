package upstream

// HistoryLength returns the number of past states that the endpoints can report.
func (u *Upstream) HistoryLength() int {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	return len(u.status.history)
}
