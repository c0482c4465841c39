// Package logging builds loggers that write one line of key=value pairs (logfmt)
// for each event, and a writer that never blocks them.
package logging

import (
	"io"
	"sync/atomic"
	"time"

	zaplogfmt "github.com/jsternberg/zap-logfmt"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// New returns a logger that writes events of the level and above to w, each as one
// line of key=value pairs. Writes to w are serialised.
func New(w io.Writer, level zapcore.Level) *zap.Logger {
	c := zap.NewProductionEncoderConfig()
	c.TimeKey, c.MessageKey = "time", "event"
	c.EncodeTime = func(t time.Time, e zapcore.PrimitiveArrayEncoder) {
		e.AppendString(t.UTC().Format(time.RFC3339Nano))
	}
	c.EncodeDuration = zapcore.StringDurationEncoder
	return zap.New(zapcore.NewCore(zaplogfmt.NewEncoder(c), zapcore.Lock(zapcore.AddSync(w)), level))
}

// Sampling of the lines of one event: in each sampleInterval the first sampleFirst
// lines are written, then one in sampleThereafter. The few lines of a single failed
// request are thus written in full, and only a load of hundreds of requests a second
// is sampled.
const (
	sampleInterval   = time.Second
	sampleFirst      = 20
	sampleThereafter = 100
)

// NewSampled returns a logger like New that samples the lines of each event: it
// writes the first 20 in a second and one in a hundred of the others. It adds the
// number of dropped lines to sampledOut.
func NewSampled(w io.Writer, level zapcore.Level, sampledOut *atomic.Uint64) *zap.Logger {
	core := zapcore.NewSamplerWithOptions(New(w, level).Core(), sampleInterval, sampleFirst, sampleThereafter,
		zapcore.SamplerHook(func(_ zapcore.Entry, d zapcore.SamplingDecision) {
			if d&zapcore.LogDropped > 0 {
				sampledOut.Add(1)
			}
		}))
	return zap.New(core)
}
