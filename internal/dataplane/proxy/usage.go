package proxy

import "io"

// UsageRecorder counts the requests that engines have begun. Its method is called concurrently.
type UsageRecorder interface {
	// RecordRun counts a request of a tenant that an engine has just begun.
	RecordRun(tenant string)
}

// meteredBody is the body of an engine's response, whose first bytes show that a run has begun.
type meteredBody struct {
	io.Reader
	onBegin func()
}

// Read calls onBegin after the first read that returns bytes.
func (m *meteredBody) Read(buffer []byte) (int, error) {
	count, err := m.Reader.Read(buffer)
	if count > 0 && m.onBegin != nil {
		m.onBegin()
		m.onBegin = nil
	}
	return count, err
}

// meterBody has the request counted at the first bytes of an engine's response. A request is counted
// once, by the first run that has shown any output: a run that continues its stream elsewhere is no
// further request.
func (f *forwardedRequest) meterBody(body io.Reader) io.Reader {
	if f.proxy.Usage == nil || f.usageRecorded {
		return body
	}
	return &meteredBody{Reader: body, onBegin: func() {
		f.usageRecorded = true
		f.proxy.Usage.RecordRun(f.tenant)
	}}
}
