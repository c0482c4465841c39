package demo

import (
	"fmt"
	"strings"
)

// Event names the change that happens during a run. Its values are the arguments
// of the event flag.
type Event string

const (
	// EventNone leaves the deployment unchanged.
	EventNone Event = "none"
	// EventDrain drains one upstream.
	EventDrain Event = "drain"
	// EventCold makes one upstream cold, which limits its new flows.
	EventCold Event = "cold"
	// EventInstanceStop stops one instance gracefully.
	EventInstanceStop Event = "instance-stop"
	// EventInstanceKill kills one instance without notice to its peers.
	EventInstanceKill Event = "instance-kill"
	// EventDataCentre takes one data centre out of service and restores it later.
	EventDataCentre Event = "data-centre-out"
)

// Events returns all events, in the order in which EventError lists them.
func Events() []Event {
	return []Event{EventNone, EventDrain, EventCold, EventInstanceStop, EventInstanceKill, EventDataCentre}
}

// EventError reports an unknown event name.
type EventError struct{ Name string }

// Error names the unknown event and lists the known ones.
func (e *EventError) Error() string {
	names := make([]string, 0, len(Events()))
	for _, event := range Events() {
		names = append(names, string(event))
	}
	return fmt.Sprintf("no event %q, expected one of %s", e.Name, strings.Join(names, ", "))
}

// ParseEvent returns the event with the given name, or an EventError if there is
// none.
func ParseEvent(name string) (Event, error) {
	for _, e := range Events() {
		if string(e) == name {
			return e, nil
		}
	}
	return "", &EventError{Name: name}
}
