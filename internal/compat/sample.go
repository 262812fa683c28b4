// Package compat proves that this build reads and writes what earlier builds did: it
// holds a sample of everything that travels between the project's own daemons or stands
// on disk, and the golden files that an earlier build wrote of them.
//
// Samples go by stable labels and never by the names of Go types, so that types, packages
// and their folders may be renamed. What may not change is seen as a difference: names,
// order, kinds and values of fields, numbers of constants, paths and file formats.
package compat

import (
	"bytes"
	"encoding/gob"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
)

// Format says how a sample is written; it is the ending of its golden file.
type Format string

// The formats.
const (
	Gob    Format = "gob"
	JSON   Format = "json"
	Binary Format = "bin"
	INI    Format = "ini"
)

// Sample is one golden file and how this build writes it.
type Sample struct {
	Label  string
	Format Format
	Encode func() ([]byte, error)
	// Describe is equal for two encodings if they say the same to whoever reads them.
	Describe func([]byte) (string, error)
	// Value is a pointer to what is encoded, where that is one Go value.
	Value any
}

// File is the name of the sample's golden file.
func (sm Sample) File() string { return sm.Label + "." + string(sm.Format) }

// Samples are all samples, in the order of their files.
func Samples() []Sample {
	all := slices.Concat(callSamples(), logSamples(), jsonSamples(), nameSamples(), routeSamples(), snapshotSamples(), diskSamples(), settingSamples())
	slices.SortFunc(all, func(left, right Sample) int { return bytes.Compare([]byte(left.File()), []byte(right.File())) })
	return all
}

// exact describes an encoding by its very bytes.
func exact(data []byte) (string, error) { return hex.Dump(data), nil }

// exactText describes an encoding that is text by the text itself.
func exactText(data []byte) (string, error) { return string(data), nil }

// EncodeGob writes a value as all daemons do: with the definitions of its types.
func EncodeGob(value any) ([]byte, error) {
	var buffer bytes.Buffer
	err := gob.NewEncoder(&buffer).Encode(value)
	return buffer.Bytes(), err
}

// gobMessage is a sample of one value in gob.
func gobMessage(label string, value any) Sample {
	return Sample{
		Label: label, Format: Gob, Value: value, Describe: DescribeGob,
		Encode: func() ([]byte, error) { return EncodeGob(value) },
	}
}

// gobPrototypes are samples of filled values of these types.
func gobPrototypes(prototypes map[string]any) []Sample {
	var samples []Sample
	for _, label := range slices.Sorted(maps.Keys(prototypes)) {
		samples = append(samples, gobMessage(label, filled(prototypes[label])))
	}
	return samples
}

// EncodeJSON writes a value as all public interfaces do: on one line.
func EncodeJSON(value any) ([]byte, error) {
	var buffer bytes.Buffer
	err := json.NewEncoder(&buffer).Encode(value)
	return buffer.Bytes(), err
}

// jsonMessage is a sample of one value in JSON.
func jsonMessage(label string, value any) Sample {
	return Sample{
		Label: label, Format: JSON, Value: value, Describe: exactText,
		Encode: func() ([]byte, error) { return EncodeJSON(value) },
	}
}

// must is for samples that are made of constants: if they can't be made, neither the
// command nor the tests can go on.
func must[Value any](value Value, err error) Value {
	if err != nil {
		panic(fmt.Sprintf("a sample can't be made: %v", err))
	}
	return value
}
