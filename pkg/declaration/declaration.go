// Package declaration defines and parses declarations files, in which operators
// declare classes of work and the target of each. Declarations contain no
// addresses, weights or data centres, so they stay valid when the services move
// to another operator.
package declaration

import "time"

// Declarations is the content of a declarations file.
type Declarations struct {
	Classes []Class `yaml:"classes"`
}

// Class is a class of work: the requests to one port of a service.
type Class struct {
	// Name is unique among the classes.
	Name string `yaml:"name"`
	// Service is the name of the service that does the work.
	Service string `yaml:"service"`
	// Port is the port of the service that serves this class.
	Port uint16 `yaml:"port"`
	// Target is the service level objective of the class.
	Target Target `yaml:"target"`
}

// Target is the service level objective of a class.
type Target struct {
	// AnswerWithin is the maximum time from a request to the start of its response.
	// Zero means no limit.
	AnswerWithin time.Duration `yaml:"answer-within,omitempty"`
	// FinishWithin is the maximum time from the opening packet to the end of the
	// flow. Zero means no limit.
	FinishWithin time.Duration `yaml:"finish-within,omitempty"`
	// Share is the fraction of requests, in (0, 1], that must meet the time limits.
	Share float64 `yaml:"share"`
	// Once forbids sending the opening packet of a flow to a second upstream, for
	// requests that are not idempotent.
	Once bool `yaml:"once,omitempty"`
	// Whole marks bulk work that may be delayed but must be delivered completely.
	Whole bool `yaml:"whole,omitempty"`
}
