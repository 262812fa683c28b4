package proxy

import "io"

// UsageRecorder counts the requests that engines have begun to answer. Its method is called concurrently.
type UsageRecorder interface {
	// RecordRun counts a request that an engine has begun to answer. The tenant is empty if the request
	// has none.
	RecordRun(tenant string)
}

// meteredBody is a response body that calls onFirstBytes when its first bytes arrive. These bytes show that
// the engine has begun to answer.
type meteredBody struct {
	io.Reader
	onFirstBytes func()
}

// Read calls onFirstBytes after the first read that returns bytes.
func (m *meteredBody) Read(buffer []byte) (int, error) {
	count, err := m.Reader.Read(buffer)
	if count > 0 && m.onFirstBytes != nil {
		m.onFirstBytes()
		m.onFirstBytes = nil
	}
	return count, err
}

// meterBody returns a body that reports the request to the UsageRecorder at the first bytes of the
// response. Each request is counted once, at the first output of any of its runs. A run that resumes
// the stream at another engine is not counted again.
func (f *forwardedRequest) meterBody(body io.Reader) io.Reader {
	if f.proxy.Usage == nil || f.usageRecorded {
		return body
	}
	return &meteredBody{Reader: body, onFirstBytes: func() {
		f.usageRecorded = true
		f.proxy.Usage.RecordRun(f.tenant)
	}}
}
