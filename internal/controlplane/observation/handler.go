package observation

import "net/http"

// Handler returns a handler that reads the heads directly before the first byte of each answer, for requests that arrive
// on observed connections.
func Handler(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		connection := FromContext(request.Context())
		if connection == nil {
			handler.ServeHTTP(writer, request)
			return
		}
		observed := &observedWriter{ResponseWriter: writer, connection: connection, bodyLength: request.ContentLength}
		handler.ServeHTTP(observed, request)
		observed.observe()
	})
}

// observedWriter is a ResponseWriter that observes before the first byte of the answer.
type observedWriter struct {
	http.ResponseWriter
	connection *Connection
	bodyLength int64
	observed   bool
}

// observe reads the heads, unless that was done for this answer before.
func (o *observedWriter) observe() {
	if o.observed {
		return
	}
	o.observed = true
	if !o.connection.observeAnswer(o.bodyLength) {
		o.Header().Set("Connection", "close")
	}
}

// WriteHeader observes, and then sends the head of the answer.
func (o *observedWriter) WriteHeader(status int) {
	o.observe()
	o.ResponseWriter.WriteHeader(status)
}

// Write observes, and then sends a part of the body.
func (o *observedWriter) Write(data []byte) (int, error) {
	o.observe()
	return o.ResponseWriter.Write(data)
}

// Unwrap returns the writer below, for http.ResponseController.
func (o *observedWriter) Unwrap() http.ResponseWriter { return o.ResponseWriter }
