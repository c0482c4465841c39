package demo

import (
	"time"

	"github.com/chervilhaven/chervilhaven/internal/fake/caller"
	"github.com/chervilhaven/chervilhaven/pkg/declaration"
)

// Load of the demo by kind of class: rates in new flows per second, work per request
// at the upstream, and response sizes in bytes.
const (
	queryRate   = 200
	queryWork   = 8 * time.Millisecond
	queryBytes  = 800
	sessionRate = 20
	// sessionRequests and sessionPause make a session last about 3 s.
	sessionRequests = 10
	sessionPause    = 300 * time.Millisecond
	postingRate     = 120
	postingWork     = 12 * time.Millisecond
	postingBytes    = 200
	documentRate    = 20
	documentWork    = 60 * time.Millisecond
	documentBytes   = 48 << 10
)

// profiles returns the load of callers for the declared classes: documents for
// classes that tolerate delay but need complete responses, postings for classes whose
// requests must run exactly once, and single queries and long sessions for the others.
func profiles(d declaration.Declarations) []caller.Class {
	var list []caller.Class
	for _, c := range d.Classes {
		switch {
		case c.Target.Whole:
			list = append(list, caller.Class{
				Name: c.Name, Rate: documentRate, Requests: 1, Work: documentWork, Size: documentBytes,
			})
		case c.Target.Once:
			list = append(list, caller.Class{
				Name: c.Name, Rate: postingRate, Requests: 1, Work: postingWork, Size: postingBytes,
			})
		default:
			list = append(list, caller.Class{
				Name: c.Name, Rate: queryRate, Requests: 1, Work: queryWork, Size: queryBytes,
			}, caller.Class{
				Name: c.Name, Rate: sessionRate, Requests: sessionRequests, Pause: sessionPause,
				Work: queryWork, Size: queryBytes,
			})
		}
	}
	return list
}
