// Package logging writes one line of key=value pairs for each event.
package logging

import (
	"io"
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
