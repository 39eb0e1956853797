// Package logger sets up the process's log. go-zero's own log lines are routed into it, so that a process has one log
// with one format.
package logger

import (
	"fmt"
	"io"

	"github.com/phuslu/log"
	"github.com/zeromicro/go-zero/core/logx"
)

// Logger writes log lines. Messages begin with the name of the part, for example "server: draining".
type Logger struct {
	*log.Logger
}

// New returns a logger of the given level that writes JSON lines to w and takes over go-zero's log.
func New(w io.Writer, level string) Logger {
	l := &log.Logger{Level: log.ParseLevel(level), TimeField: "time", Writer: &log.IOWriter{Writer: w}}
	logx.SetWriter(bridge{l})
	logx.DisableStat()
	// The line that go-zero writes for each HTTP request is below error; errors of calls are counted, not logged.
	logx.SetLevel(logx.SevereLevel)
	return Logger{l}
}

// queuedLines is the number of lines that wait for a slow reader; more are dropped, so that a full pipe blocks nothing.
const queuedLines = 4096

// NewAsync returns a logger like New that never blocks, and a function that writes the lines that still wait.
func NewAsync(w io.Writer, level string) (Logger, func()) {
	async := &log.AsyncWriter{Writer: &log.IOWriter{Writer: w}, ChannelSize: queuedLines, DiscardOnFull: true}
	l := New(w, level)
	l.Writer = async
	return l, func() { _ = async.Close() }
}

// bridge passes go-zero's lines on.
type bridge struct {
	l *log.Logger
}

func (b bridge) Alert(v any) { b.l.Error().Msg(text(v)) }

func (bridge) Close() error { return nil }

func (b bridge) Debug(v any, _ ...logx.LogField) { b.l.Debug().Msg(text(v)) }

func (b bridge) Error(v any, _ ...logx.LogField) { b.l.Error().Msg(text(v)) }

func (b bridge) Info(v any, _ ...logx.LogField) { b.l.Info().Msg(text(v)) }

func (b bridge) Severe(v any) { b.l.Error().Msg(text(v)) }

func (b bridge) Slow(v any, _ ...logx.LogField) { b.l.Warn().Msg(text(v)) }

func (b bridge) Stack(v any) { b.l.Error().Msg(text(v)) }

func (b bridge) Stat(v any, _ ...logx.LogField) { b.l.Debug().Msg(text(v)) }

func text(v any) string { return "go-zero: " + fmt.Sprint(v) }
