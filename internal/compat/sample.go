// Package compat checks that this build reads and writes the same formats as earlier builds. It
// holds a [Sample] of everything that is sent between the project's daemons or stored on disk,
// and the golden files that an earlier build wrote of them.
//
// Samples have stable labels and never the names of Go types, so that types, packages and
// directories may be renamed. What must not change shows up as a difference: the names, order,
// types and values of fields, the numbers of constants, paths and file formats.
//
// To add a format, add a sample with a new label and run the [Golden] command, which writes
// its golden file and touches no other.
package compat

import (
	"bytes"
	"encoding/gob"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"

	"coursepass/internal/transport"
)

// Format is the encoding of a sample, and the extension of its golden file.
type Format string

// The formats.
const (
	Gob    Format = "gob"
	JSON   Format = "json"
	Binary Format = "bin"
	INI    Format = "ini"
)

// Sample is the content of one golden file, as this build encodes it.
type Sample struct {
	Label  string
	Format Format
	Encode func() ([]byte, error)
	// Describe returns equal descriptions of two encodings that mean the same to a reader.
	Describe func([]byte) (string, error)
	// Value is a pointer to the encoded value, nil if the sample isn't a single Go value.
	Value any
}

// File returns the name of the sample's golden file.
func (s Sample) File() string { return s.Label + "." + string(s.Format) }

// Samples returns all samples, sorted by file name.
func Samples() []Sample {
	samples := slices.Concat(
		callSamples(),
		logSamples(),
		jsonSamples(),
		nameSamples(),
		routeSamples(),
		snapshotSamples(),
		diskSamples(),
		settingSamples(),
	)
	slices.SortFunc(samples, func(left, right Sample) int { return strings.Compare(left.File(), right.File()) })
	return samples
}

// describeBytes describes an encoding whose every byte matters.
func describeBytes(data []byte) (string, error) { return hex.Dump(data), nil }

// describeText describes an encoding that is text, by the text itself.
func describeText(data []byte) (string, error) { return string(data), nil }

// EncodeGob encodes a value, in the wire form that the transport sends if it has one, with the
// definitions of its types.
func EncodeGob(value any) ([]byte, error) {
	var buffer bytes.Buffer
	err := gob.NewEncoder(&buffer).Encode(transport.WireForm(value))
	return buffer.Bytes(), err
}

// gobMessage returns a sample of one value in gob.
func gobMessage(label string, value any) Sample {
	return Sample{
		Label:    label,
		Format:   Gob,
		Value:    value,
		Describe: DescribeGob,
		Encode:   func() ([]byte, error) { return EncodeGob(value) },
	}
}

// gobPrototypes returns samples of filled values of the prototypes' types, by label.
func gobPrototypes(prototypes map[string]any) []Sample {
	var samples []Sample
	for _, label := range slices.Sorted(maps.Keys(prototypes)) {
		samples = append(samples, filledSamples(label, prototypes[label], gobMessage)...)
	}
	return samples
}

// filledSamples returns a sample of a filled value of the prototype's type, and one for each
// addition that changes the type.
func filledSamples(label string, prototype any, newSample func(label string, value any) Sample) []Sample {
	return append([]Sample{newSample(label, filled(prototype))}, additionSamples(label, prototype, newSample)...)
}

// additionSamples returns a sample of a filled value for each addition that changes its type.
func additionSamples(label string, prototype any, newSample func(label string, value any) Sample) []Sample {
	var samples []Sample
	for _, group := range additions {
		if group.changes(reflect.TypeOf(prototype)) {
			value := filledUnless(prototype, group.isAddedByOther)
			samples = append(samples, newSample(label+"-"+group.name, value))
		}
	}
	return samples
}

// EncodeJSON encodes a value as all public interfaces do, on one line.
func EncodeJSON(value any) ([]byte, error) {
	var buffer bytes.Buffer
	err := json.NewEncoder(&buffer).Encode(value)
	return buffer.Bytes(), err
}

// jsonMessage returns a sample of one value in JSON.
func jsonMessage(label string, value any) Sample {
	return Sample{
		Label:    label,
		Format:   JSON,
		Value:    value,
		Describe: describeText,
		Encode:   func() ([]byte, error) { return EncodeJSON(value) },
	}
}

// must unwraps the value of a sample that is made of constants. It panics on an error, since
// neither the command nor the tests can go on without the sample.
func must[Value any](value Value, err error) Value {
	if err != nil {
		panic(fmt.Sprintf("a sample can't be made: %v", err))
	}
	return value
}
