package connector

import (
	"bytes"
	"sync"

	"hornbeamcroft/framer"
)

// frameBuffers holds buffers for one frame each, which all links share: a link needs one only while it handles a frame.
var frameBuffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

func takeFrameBuffer() *bytes.Buffer { return frameBuffers.Get().(*bytes.Buffer) }

// returnFrameBuffer keeps the buffer for another frame, unless a rare large frame has grown it.
func returnFrameBuffer(buf *bytes.Buffer) {
	if buf.Cap() > framer.MaxFrame {
		return
	}
	buf.Reset()
	frameBuffers.Put(buf)
}
