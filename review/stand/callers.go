package main

import (
	"bytes"
	_ "embed"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

//go:embed config.json
var configText string

// operatorClient waits a second for an answer, as the pages say.
var operatorClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// order sends one order of the operator to a core, and returns the status, or 0 without an answer.
func (f *fleet) order(m *machine, method, path, basedOn, body string) (int, string) {
	request, err := http.NewRequest(method, "http://"+f.address(m, portControl)+path, strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	if basedOn != "" {
		request.Header.Set(word("based-on"), basedOn)
		request.Header.Set("Content-Type", "application/json")
	}
	f.record.add("operator sends %s to %s", path, m.name)
	response, err := operatorClient.Do(request)
	if err != nil {
		f.record.add("operator gets no answer from %s to %s: %v", m.name, path, err)
		return 0, err.Error()
	}
	defer response.Body.Close()
	text, _ := io.ReadAll(response.Body)
	shown := string(text)
	f.record.add("operator gets %d from %s to %s %.80s", response.StatusCode, m.name, path, shown)
	return response.StatusCode, shown
}

// insist sends an order to the cores in turn, beginning with the given ones, until it is acknowledged.
func (f *fleet) insist(cores []*machine, path, basedOn, body string, limit time.Duration) (time.Time, error) {
	end := time.Now().Add(limit)
	pause := 50 * time.Millisecond
	for number := 0; time.Now().Before(end); number++ {
		status, _ := f.order(cores[number%len(cores)], http.MethodPost, path, basedOn, body)
		if status == http.StatusOK {
			return time.Now(), nil
		}
		time.Sleep(pause)
		pause = min(2*pause, 400*time.Millisecond)
	}
	return time.Time{}, fmt.Errorf("%s was not acknowledged", path)
}

func configuration(version int) string {
	return strings.Replace(configText, "VERSION", strconv.Itoa(version), 1)
}

// answer is what a client got.
type answer struct {
	try      string
	status   int
	complete bool
	pieces   int
	err      error
}

// plain sends a small repeatable request to a router.
func (f *fleet) plain(m *machine) answer {
	return f.send(m, "plain.example", "/plain/x", 3000, nil)
}

// stream sends a request for a stream of events to a router.
func (f *fleet) stream(m *machine, prompt, out int) answer {
	return f.send(m, "note.example", "/note/x", 8000, map[string]string{
		word("model"):       "m",
		word("token-count"): fmt.Sprintf("%d,%d", prompt, out),
		word("prompt"):      fmt.Sprintf("%s:%d", newID(), prompt),
	})
}

func (f *fleet) send(m *machine, host, path string, left int, header map[string]string) answer {
	result := answer{try: newID() + newID()}
	request, err := http.NewRequest(http.MethodPost, "http://"+f.address(m, portFront)+path, bytes.NewReader([]byte("{}")))
	if err != nil {
		result.err = err
		return result
	}
	request.Host = host
	request.Header.Set(word("try"), result.try)
	request.Header.Set(word("time-left"), strconv.Itoa(left))
	for name, value := range header {
		request.Header.Set(name, value)
	}
	f.record.add("client sends %s %s to %s", result.try, path, m.name)
	client := &http.Client{Timeout: time.Duration(left) * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		result.err = err
		f.record.add("client gets no answer to %s: %v", result.try, err)
		return result
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	result.status, result.err, result.complete = response.StatusCode, err, err == nil
	result.pieces = strings.Count(string(text), "\nid: ") + strings.Count(string(text[:min(4, len(text))]), "id: ")
	f.record.add("client gets %d to %s, complete %v, %d pieces, %v", result.status, result.try, result.complete, result.pieces, err)
	return result
}
