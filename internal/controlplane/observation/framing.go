package observation

// framing counts the bytes that a connection has received after the head of a request. It tells whether a request has been
// received and nothing after it. net/http, which parses the requests, reads ahead and does not show how far.
type framing struct {
	headEnded bool
	// emptyLine is set if the present line of the head has no byte but carriage returns, and is not the first line.
	emptyLine bool
	// bodyBytes is the number of bytes after the head.
	bodyBytes int64
}

// read follows bytes that the connection has received.
func (f *framing) read(data []byte) {
	for offset, value := range data {
		switch {
		case f.headEnded:
			f.bodyBytes += int64(len(data) - offset)
			return
		case value == '\n':
			f.headEnded = f.emptyLine
			f.emptyLine = true
		case value != '\r':
			f.emptyLine = false
		}
	}
}

// isExactly reports whether a head and a body of the given length have been received, and nothing else. A negative length
// means that the length is not known.
func (f *framing) isExactly(bodyLength int64) bool {
	return f.headEnded && bodyLength >= 0 && f.bodyBytes == bodyLength
}
