package upstream

import (
	"encoding/json"
	"net/http"
	"time"
)

const (
	readHeaderTimeout = 5 * time.Second
	// historyLimit is the time for which past states are kept, and so the
	// longest possible status lag.
	historyLimit = 30 * time.Second
)

// Health is the JSON body of the health endpoint.
type Health struct {
	Ready    bool      `json:"ready"`
	Draining bool      `json:"draining"`
	Started  time.Time `json:"started"`
}

// Load is the JSON body of the load endpoint. Open counts open flows; Busy
// counts occupied slots.
type Load struct {
	Open     int  `json:"open"`
	Busy     int  `json:"busy"`
	Slots    int  `json:"slots"`
	Shedding bool `json:"shedding"`
}

// statusFaults controls what the status endpoints report instead of the current
// state, and holds the past states for a lag.
type statusFaults struct {
	lag            time.Duration
	overrideHealth *Health
	overrideLoad   *Load
	failing        bool
	history        []statusRecord
	lastRecordAt   time.Time
}

type statusRecord struct {
	at     time.Time
	health Health
	load   Load
}

// SetStatusLag makes the status endpoints report the state of the given
// duration ago, at most historyLimit. Zero reports the current state.
func (u *Upstream) SetStatusLag(lag time.Duration) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	u.status.lag = min(lag, historyLimit)
}

// OverrideStatus makes the status endpoints report the given bodies instead of
// the real state. A nil body removes its override.
func (u *Upstream) OverrideStatus(health *Health, load *Load) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	u.status.overrideHealth, u.status.overrideLoad = health, load
}

// FailStatus sets whether the status endpoints answer every request with status
// 500.
func (u *Upstream) FailStatus(on bool) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	u.status.failing = on
}

func (s *statusFaults) record(now time.Time, health Health, load Load) {
	const interval = 100 * time.Millisecond
	if now.Sub(s.lastRecordAt) < interval {
		return
	}
	s.lastRecordAt = now
	s.history = append(s.history, statusRecord{at: now, health: health, load: load})
	if now.Sub(s.history[0].at) > historyLimit {
		s.history = s.history[1:]
	}
}

// reportedStatus returns what the status endpoints report at the given time,
// and whether they fail.
func (u *Upstream) reportedStatus(now time.Time) (Health, Load, bool) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	health, load := u.health(), u.load()
	if u.status.lag > 0 {
		for _, r := range u.status.history {
			health, load = r.health, r.load
			if now.Sub(r.at) <= u.status.lag {
				break
			}
		}
	}
	if u.status.overrideHealth != nil {
		health = *u.status.overrideHealth
	}
	if u.status.overrideLoad != nil {
		load = *u.status.overrideLoad
	}
	return health, load, u.status.failing
}

func (u *Upstream) countHealthRead() {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	u.counts.HealthReads++
}

func (u *Upstream) health() Health {
	return Health{Ready: true, Draining: !u.drainingSince.IsZero(), Started: u.startedAt}
}

func (u *Upstream) load() Load {
	return Load{
		Open: u.openFlows, Busy: u.busySlots, Slots: u.config.Slots,
		// An upstream above its flow limit also reports that it sheds load,
		// although it still admits flows.
		Shedding: u.shedding || u.openFlows > u.flowLimit,
	}
}

func (u *Upstream) newServer() *http.Server {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) {
		health, _, failing := u.reportedStatus(time.Now())
		u.countHealthRead()
		code := http.StatusOK
		if !health.Ready {
			code = http.StatusServiceUnavailable
		}
		writeStatus(w, code, failing, health)
	})
	mux.HandleFunc("GET /load", func(w http.ResponseWriter, _ *http.Request) {
		_, load, failing := u.reportedStatus(time.Now())
		writeStatus(w, http.StatusOK, failing, load)
	})
	return &http.Server{Handler: mux, ReadHeaderTimeout: readHeaderTimeout}
}

func writeStatus(w http.ResponseWriter, code int, failing bool, body any) {
	if failing {
		http.Error(w, "status endpoint is down", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	// Encoding fails only if the client has disconnected.
	_ = json.NewEncoder(w).Encode(body)
}
