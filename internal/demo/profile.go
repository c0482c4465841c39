package demo

import (
	"time"

	"github.com/chervilhaven/chervilhaven/internal/fake/caller"
	"github.com/chervilhaven/chervilhaven/pkg/declaration"
)

// Flows of the demo, by the kind of class.
const (
	queryRate   = 200
	queryWork   = 8 * time.Millisecond
	queryBytes  = 800
	sessionRate = 20
	// sessionRequests and sessionPause make a session last some seconds.
	sessionRequests = 10
	sessionPause    = 300 * time.Millisecond
	postingRate     = 120
	postingWork     = 12 * time.Millisecond
	postingBytes    = 200
	documentRate    = 20
	documentWork    = 60 * time.Millisecond
	documentBytes   = 48 << 10
)

// profiles returns the flows of callers for the declared classes: documents
// for classes that may wait but have to arrive whole, postings for those that
// land once, and single queries and long sessions for the others.
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
