// Package logger sets up the log of a process. It also receives the log lines of go-zero, so that the process has one
// log in one format.
package logger

import (
	"fmt"
	"io"

	"github.com/phuslu/log"
	"github.com/zeromicro/go-zero/core/logx"
)

// Logger writes log lines. Each message begins with the name of the component, for example "server: started".
type Logger struct {
	*log.Logger
}

// New returns a logger of the given level that writes JSON lines to w. From then on it also receives go-zero's
// log lines.
func New(w io.Writer, level string) Logger {
	l := &log.Logger{Level: log.ParseLevel(level), TimeField: "time", Writer: &log.IOWriter{Writer: w}}
	logx.SetWriter(bridge{l})
	logx.DisableStat()
	// Suppresses go-zero's lines below level severe: the one that it writes for each HTTP request, and errors of calls,
	// which are counted and not logged.
	logx.SetLevel(logx.SevereLevel)
	return Logger{l}
}

// maxQueuedLines is the maximum number of lines that wait while w is slow. Further lines are dropped, so that a full
// pipe does not block the process.
const maxQueuedLines = 4096

// NewAsync returns a logger like New whose calls never wait for w, and a function that writes the queued lines and
// closes the logger.
func NewAsync(w io.Writer, level string) (Logger, func()) {
	async := &log.AsyncWriter{Writer: &log.IOWriter{Writer: w}, ChannelSize: maxQueuedLines, DiscardOnFull: true}
	l := New(w, level)
	l.Writer = async
	return l, func() { _ = async.Close() }
}

// bridge passes go-zero's log lines to a log.Logger.
type bridge struct {
	l *log.Logger
}

func (b bridge) Alert(v any) { b.l.Error().Msg(message(v)) }

func (bridge) Close() error { return nil }

func (b bridge) Debug(v any, _ ...logx.LogField) { b.l.Debug().Msg(message(v)) }

func (b bridge) Error(v any, _ ...logx.LogField) { b.l.Error().Msg(message(v)) }

func (b bridge) Info(v any, _ ...logx.LogField) { b.l.Info().Msg(message(v)) }

func (b bridge) Severe(v any) { b.l.Error().Msg(message(v)) }

func (b bridge) Slow(v any, _ ...logx.LogField) { b.l.Warn().Msg(message(v)) }

func (b bridge) Stack(v any) { b.l.Error().Msg(message(v)) }

func (b bridge) Stat(v any, _ ...logx.LogField) { b.l.Debug().Msg(message(v)) }

func message(v any) string { return "go-zero: " + fmt.Sprint(v) }
