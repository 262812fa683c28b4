package compat

import (
	"bytes"
	"encoding/gob"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"

	"coursepass/internal/transport"
)

const goldenDirectory = "testdata/golden"

func readGolden(tb testing.TB, sample Sample) []byte {
	tb.Helper()
	data, err := os.ReadFile(filepath.Join(goldenDirectory, sample.File()))
	if err != nil {
		tb.Fatal(err)
	}
	return data
}

// firstDifference returns the first lines in which two descriptions differ.
func firstDifference(expected, actual string) string {
	left, right := strings.Split(expected, "\n"), strings.Split(actual, "\n")
	for line := range min(len(left), len(right)) {
		if left[line] != right[line] {
			return "golden: " + left[line] + "\nnow:    " + right[line]
		}
	}
	return "one is longer than the other"
}

// requireSameContent checks that two encodings of a sample mean the same to a reader.
func requireSameContent(tb testing.TB, sample Sample, golden, current []byte) {
	tb.Helper()
	expected, err := sample.Describe(golden)
	if err != nil {
		tb.Fatalf("golden file: %v", err)
	}
	actual, err := sample.Describe(current)
	if err != nil {
		tb.Fatalf("this build: %v", err)
	}
	if expected != actual {
		tb.Fatalf("the encoding of this build differs from the golden file:\n%s", firstDifference(expected, actual))
	}
}

func TestGoldenFiles_MatchSamples(t *testing.T) {
	var expected, files []string
	for _, sample := range Samples() {
		expected = append(expected, sample.File())
	}
	if duplicates := len(expected) - len(slices.Compact(slices.Clone(expected))); duplicates > 0 {
		t.Errorf("%d labels are used twice", duplicates)
	}
	entries, err := os.ReadDir(goldenDirectory)
	if err != nil {
		t.Fatal(err)
	}
	for _, entry := range entries {
		files = append(files, entry.Name())
	}
	for _, file := range expected {
		if !slices.Contains(files, file) {
			t.Errorf("%s is missing", file)
		}
	}
	for _, file := range files {
		if !slices.Contains(expected, file) {
			t.Errorf("%s has no sample", file)
		}
	}
}

func TestSamples_EncodeAsGoldenFiles(t *testing.T) {
	for _, sample := range Samples() {
		t.Run(sample.File(), func(t *testing.T) {
			current, err := sample.Encode()
			if err != nil {
				t.Fatal(err)
			}
			requireSameContent(t, sample, readGolden(t, sample), current)
		})
	}
}

// decode decodes an encoding into a new value of the sample's type, and encodes that again.
func decode(sample Sample, data []byte) (value any, reencoded []byte, err error) {
	value = reflect.New(reflect.TypeOf(sample.Value).Elem()).Interface()
	switch sample.Format {
	case Gob:
		err = transport.DecodeWireForm(gob.NewDecoder(bytes.NewReader(data)), value)
		if err == nil {
			reencoded, err = EncodeGob(value)
		}
	case JSON:
		decoder := json.NewDecoder(bytes.NewReader(data))
		decoder.DisallowUnknownFields()
		err = decoder.Decode(value)
		if err == nil {
			reencoded, err = EncodeJSON(value)
		}
	case INI:
		err = DecodeSettings(data, value)
		if err == nil {
			reencoded = EncodeSettings(value)
		}
	default:
		err = fmt.Errorf("values in the format %q can't be decoded", sample.Format)
	}
	return value, reencoded, err
}

func TestGoldenFiles_RoundTrip(t *testing.T) {
	for _, sample := range Samples() {
		if sample.Value == nil {
			continue
		}
		t.Run(sample.File(), func(t *testing.T) {
			golden := readGolden(t, sample)
			value, reencoded, err := decode(sample, golden)
			if err != nil {
				t.Fatal(err)
			}
			requireSameContent(t, sample, golden, reencoded)
			if sample.Format != JSON && !reflect.DeepEqual(value, sample.Value) {
				t.Fatalf("read %+v\nwant %+v", value, sample.Value)
			}
		})
	}
}

func TestGolden_WritesOnlyChangedFiles(t *testing.T) {
	directory := t.TempDir()
	command := &Golden{Out: directory}
	if err := command.Run(); err != nil {
		t.Fatal(err)
	}
	sample := Samples()[0]
	path := filepath.Join(directory, sample.File())
	previous, err := os.Stat(path)
	if err != nil {
		t.Fatal(err)
	}
	for _, golden := range Samples() {
		if changed, err := command.write(golden); err != nil || changed {
			t.Errorf("%s is rewritten: %v", golden.File(), err)
		}
	}
	if current, err := os.Stat(path); err != nil || !current.ModTime().Equal(previous.ModTime()) {
		t.Errorf("%s was touched: %v", sample.File(), err)
	}
	if err := os.WriteFile(path, []byte("broken"), 0o644); err != nil {
		t.Fatal(err)
	}
	if changed, err := command.write(sample); err != nil || !changed {
		t.Errorf("a broken file is not replaced: %v", err)
	}
}
