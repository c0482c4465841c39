// Package logging writes one line of key=value pairs for each event.
package logging

import (
	"io"
	"sync/atomic"
	"time"

	zaplogfmt "github.com/jsternberg/zap-logfmt"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// New returns a log that writes one line of key=value pairs for each event.
func New(w io.Writer, level zapcore.Level) *zap.Logger {
	c := zap.NewProductionEncoderConfig()
	c.TimeKey, c.MessageKey = "time", "event"
	c.EncodeTime = func(t time.Time, e zapcore.PrimitiveArrayEncoder) {
		e.AppendString(t.UTC().Format(time.RFC3339Nano))
	}
	c.EncodeDuration = zapcore.StringDurationEncoder
	return zap.New(zapcore.NewCore(zaplogfmt.NewEncoder(c), zapcore.Lock(zapcore.AddSync(w)), level))
}

// Bounds of the lines of one event: a failed request leaves few lines, and a
// load of hundreds of requests a second is sampled.
const (
	sampleTick  = time.Second
	sampleFirst = 20
	sampleRest  = 100
)

// NewSampled returns a log like New that writes the first lines of each event
// in a second and one in a hundred of the others, and counts those left out.
func NewSampled(w io.Writer, level zapcore.Level, leftOut *atomic.Uint64) *zap.Logger {
	core := zapcore.NewSamplerWithOptions(New(w, level).Core(), sampleTick, sampleFirst, sampleRest,
		zapcore.SamplerHook(func(_ zapcore.Entry, d zapcore.SamplingDecision) {
			if d&zapcore.LogDropped > 0 {
				leftOut.Add(1)
			}
		}))
	return zap.New(core)
}
