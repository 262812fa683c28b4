package compat

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
)

// Golden writes the golden files of all samples. It is run when something new travels or
// is stored; a file that another build wrote is replaced only where compatibility with
// that build is given up on purpose.
type Golden struct {
	Out string `long:"out" description:"folder of the golden files" default:"internal/compat/testdata/golden"`
}

// Run writes the files that are missing or say something else, and names them. A file that
// says the same stays as it is, although ids of types and the order of maps may differ.
func (gd *Golden) Run() error {
	if err := os.MkdirAll(gd.Out, 0o755); err != nil {
		return err
	}
	samples, written := Samples(), 0
	for _, sample := range samples {
		changed, err := gd.write(sample)
		if err != nil {
			return fmt.Errorf("%s: %w", sample.File(), err)
		}
		if changed {
			fmt.Println("written:", sample.File())
			written++
		}
	}
	fmt.Printf("%d of %d golden files written\n", written, len(samples))
	return nil
}

func (gd *Golden) write(sample Sample) (changed bool, err error) {
	path := filepath.Join(gd.Out, sample.File())
	fresh, err := sample.Encode()
	if err != nil {
		return false, err
	}
	before, err := os.ReadFile(path)
	if err == nil {
		if same, err := sample.says(before, fresh); err == nil && same {
			return false, nil
		}
	} else if !errors.Is(err, fs.ErrNotExist) {
		return false, err
	}
	return true, os.WriteFile(path, fresh, 0o644)
}

// says tells whether two encodings of the sample say the same.
func (sm Sample) says(left, right []byte) (bool, error) {
	first, err := sm.Describe(left)
	if err != nil {
		return false, err
	}
	second, err := sm.Describe(right)
	return first == second, err
}
