package main

import (
	_ "embed"
	"strings"
)

//go:embed names.txt
var namesText string

// names holds the words of the protocol by a short key.
var names = parseNames()

func parseNames() map[string]string {
	parsed := map[string]string{}
	for _, line := range strings.Split(namesText, "\n") {
		if key, value, ok := strings.Cut(strings.TrimSpace(line), "="); ok {
			parsed[key] = value
		}
	}
	return parsed
}
