package compat

import (
	"bytes"
	"encoding/gob"
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"
)

const goldenFolder = "testdata/golden"

func readGolden(tb testing.TB, sample Sample) []byte {
	tb.Helper()
	data, err := os.ReadFile(filepath.Join(goldenFolder, sample.File()))
	if err != nil {
		tb.Fatal(err)
	}
	return data
}

// firstDifference are the first lines that two descriptions do not share.
func firstDifference(before, now string) string {
	left, right := strings.Split(before, "\n"), strings.Split(now, "\n")
	for place := range min(len(left), len(right)) {
		if left[place] != right[place] {
			return "golden: " + left[place] + "\nnow:    " + right[place]
		}
	}
	return "one is longer than the other"
}

func requireSame(tb testing.TB, sample Sample, golden, now []byte) {
	tb.Helper()
	before, err := sample.Describe(golden)
	if err != nil {
		tb.Fatalf("golden file: %v", err)
	}
	after, err := sample.Describe(now)
	if err != nil {
		tb.Fatalf("this build: %v", err)
	}
	if before != after {
		tb.Fatalf("this build writes something else than the golden file says:\n%s", firstDifference(before, after))
	}
}

func TestEverySampleHasAGoldenFileAndEveryGoldenFileASample(t *testing.T) {
	var wanted, found []string
	for _, sample := range Samples() {
		wanted = append(wanted, sample.File())
	}
	if doubled := len(wanted) - len(slices.Compact(slices.Clone(wanted))); doubled > 0 {
		t.Errorf("%d labels are used twice", doubled)
	}
	entries, err := os.ReadDir(goldenFolder)
	if err != nil {
		t.Fatal(err)
	}
	for _, entry := range entries {
		found = append(found, entry.Name())
	}
	for _, file := range wanted {
		if !slices.Contains(found, file) {
			t.Errorf("%s is missing", file)
		}
	}
	for _, file := range found {
		if !slices.Contains(wanted, file) {
			t.Errorf("%s has no sample", file)
		}
	}
}

func TestThisBuildWritesWhatTheGoldenFilesSay(t *testing.T) {
	for _, sample := range Samples() {
		t.Run(sample.File(), func(t *testing.T) {
			now, err := sample.Encode()
			if err != nil {
				t.Fatal(err)
			}
			requireSame(t, sample, readGolden(t, sample), now)
		})
	}
}

// decode reads an encoding into a new value of the sample's type, and encodes it again.
func decode(sample Sample, data []byte) (value any, again []byte, err error) {
	value = reflect.New(reflect.TypeOf(sample.Value).Elem()).Interface()
	switch sample.Format {
	case Gob:
		if err = gob.NewDecoder(bytes.NewReader(data)).Decode(value); err == nil {
			again, err = EncodeGob(value)
		}
	case JSON:
		decoder := json.NewDecoder(bytes.NewReader(data))
		decoder.DisallowUnknownFields()
		if err = decoder.Decode(value); err == nil {
			again, err = EncodeJSON(value)
		}
	case INI:
		if err = DecodeSettings(data, value); err == nil {
			again = EncodeSettings(value)
		}
	}
	return value, again, err
}

func TestGoldenFilesAreReadAndWrittenAgainAlike(t *testing.T) {
	for _, sample := range Samples() {
		if sample.Value == nil {
			continue
		}
		t.Run(sample.File(), func(t *testing.T) {
			golden := readGolden(t, sample)
			value, again, err := decode(sample, golden)
			if err != nil {
				t.Fatal(err)
			}
			requireSame(t, sample, golden, again)
			if sample.Format != JSON && !reflect.DeepEqual(value, sample.Value) {
				t.Fatalf("read %+v\nwant %+v", value, sample.Value)
			}
		})
	}
}

func TestGoldenFilesAreWrittenOnceAndThenLeftAlone(t *testing.T) {
	folder := t.TempDir()
	command := &Golden{Out: folder}
	if err := command.Run(); err != nil {
		t.Fatal(err)
	}
	sample := Samples()[0]
	path := filepath.Join(folder, sample.File())
	before, err := os.Stat(path)
	if err != nil {
		t.Fatal(err)
	}
	for _, each := range Samples() {
		if changed, err := command.write(each); err != nil || changed {
			t.Errorf("%s is written again: %v", each.File(), err)
		}
	}
	if after, err := os.Stat(path); err != nil || !after.ModTime().Equal(before.ModTime()) {
		t.Errorf("%s was touched: %v", sample.File(), err)
	}
	if err := os.WriteFile(path, []byte("broken"), 0o644); err != nil {
		t.Fatal(err)
	}
	if changed, err := command.write(sample); err != nil || !changed {
		t.Errorf("a broken file is left as it is: %v", err)
	}
}
